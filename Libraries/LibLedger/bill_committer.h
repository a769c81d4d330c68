#pragma once

#include "LibLedger/bill.h"
#include "LibLedger/custody_client.h"
#include "LibStore/store.h"
#include "LibTypes/ranked_mutex.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace azurehaven {

/// The store's keys of bills: bill/VM/INCARNATION/SEGMENT.
inline const std::string BillPrefix = "bill/";

enum class bill_state {
  Pending,
  /// Written to the store.
  Written,
  /// Held by enough peers in memory; written once the store is back.
  InCustody,
};

struct bill_committer_settings {
  /// Least time between two writes; bounds this VM's share of the store.
  milliseconds MinimumWriteInterval{10};
  /// Wait before a store that failed is tried again.
  milliseconds StoreRetryInterval{500};
  /// Copies on other VMs that release an answer while the store is away.
  std::size_t CustodyCopies = 2;
  std::size_t BillsPerSegment = 500;
  /// Bound of the bills held in memory.
  std::size_t UnwrittenBillLimit = 100000;
};

struct bill_committer_counts {
  std::uint64_t Written = 0;
  std::uint64_t InCustody = 0;
  std::uint64_t Unwritten = 0;
  std::uint64_t Segments = 0;
};

/// Makes bills durable: group commit to the store, or copies on peers while
/// the store is away. Thread-safe (lock_rank::Ledger).
class bill_committer {
public:
  bill_committer(store &Store, custody_client &Custody, vm_id Self,
                 std::uint64_t Incarnation, bill_committer_settings Settings);

  /// Queues a bill. Returns Unavailable when too many wait already.
  result<std::uint64_t> add(const bill &Bill);
  /// Waits until the bill is durable or the timeout passes.
  bill_state waitUntilDurable(std::uint64_t Ticket, milliseconds Timeout);
  bill_state stateOf(std::uint64_t Ticket);

  /// One round of writing, to be called from one thread; blocks on the store.
  void flush(steady_time Now);
  /// Tries a store that failed again; to be called from one other thread, so
  /// that a store which hangs holds up no new bill.
  void retryFailedSegments(steady_time Now);
  void confirmCustody(const vm_id &Peer, std::uint64_t Nonce);
  /// Blocks until there is something to flush or the timeout passes.
  void waitForQueuedBills(milliseconds Timeout);

  /// Whether a planned stop may end: no bill is held by this VM alone.
  bool isSafeToStop();
  bill_committer_counts counts();

private:
  /// Bills that are written together under one key.
  struct segment {
    std::uint64_t Number = 0;
    /// The flushing thread has left it to the retrying one.
    bool IsForRetry = false;
    std::vector<std::uint64_t> Tickets;
    std::vector<std::string> Bills;
    std::vector<std::string> Keys;
    /// Peers that confirmed holding the bills.
    std::set<vm_id> Holders;
    std::set<vm_id> Asked;
  };

  enum class write_outcome { Written, Failed };

  std::shared_ptr<segment> takeNewSegment();
  write_outcome write(const segment &Segment);
  void finish(const std::shared_ptr<segment> &Segment);
  void requestCustody(const std::shared_ptr<segment> &Segment);
  void setState(const segment &Segment, bill_state State);
  std::string keyOf(const segment &Segment) const;

  store &Store;
  custody_client &Custody;
  const vm_id Self;
  const std::uint64_t Incarnation;
  const bill_committer_settings Settings;

  ranked_mutex Mutex{lock_rank::Ledger};
  std::condition_variable_any Changed;
  struct waiting_bill {
    std::uint64_t Ticket;
    std::string Bill;
    std::string Key;
  };
  std::deque<waiting_bill> Waiting;
  std::map<std::uint64_t, bill_state> States;
  /// Segments not yet written, by number, which is the custody nonce too.
  std::map<std::uint64_t, std::shared_ptr<segment>> Unwritten;
  std::uint64_t NextTicket = 1;
  std::uint64_t NextSegment = 1;
  /// Of the flushing thread alone.
  steady_time NextWrite{};
  /// Of the retrying thread alone.
  steady_time NextProbe{};
  std::atomic<bool> IsStoreUnavailable = false;
  bill_committer_counts Counts;
};

} // namespace azurehaven
