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

/// Prefix of the bills' keys in the store: bill/VM/INCARNATION/SEGMENT.
inline const std::string BillPrefix = "bill/";

enum class bill_state {
  /// Queued or being written; not durable yet.
  Pending,
  /// Written to the store.
  Written,
  /// Not written yet, but enough peers hold a copy in memory. Written to the
  /// store when it is available again.
  InCustody,
};

struct bill_committer_settings {
  /// Minimum time between two writes; limits this VM's load on the store.
  milliseconds MinimumWriteInterval{10};
  /// Time between retries while the store is unavailable.
  milliseconds StoreRetryInterval{500};
  /// Copies on other VMs that make a bill durable, so that the response can be
  /// returned, while the store is unavailable.
  std::size_t CustodyCopies = 2;
  std::size_t BillsPerSegment = 500;
  /// Maximum number of bills that are not written yet, in memory.
  std::size_t UnwrittenBillLimit = 100000;
};

struct bill_committer_counts {
  std::uint64_t Written = 0;
  std::uint64_t InCustody = 0;
  /// Current number; the others are totals.
  std::uint64_t Unwritten = 0;
  std::uint64_t Segments = 0;
};

/// Makes bills durable by group commit to the store, or by copies on peers
/// (custody) while the store is unavailable. Thread-safe (lock_rank::Ledger).
class bill_committer {
public:
  bill_committer(store &Store, custody_client &Custody, vm_id Self,
                 std::uint64_t Incarnation, bill_committer_settings Settings);

  /// Queues a bill and returns its ticket. Returns Unavailable if too many
  /// bills are not written yet.
  result<std::uint64_t> add(const bill &Bill);
  /// Blocks until the bill is durable or the timeout expires. Returns Written
  /// for a ticket whose state is no longer kept.
  bill_state waitUntilDurable(std::uint64_t Ticket, milliseconds Timeout);
  bill_state stateOf(std::uint64_t Ticket);

  /// Writes one segment of queued bills. Call it from one thread only; blocks
  /// on the store.
  void flush(steady_time Now);
  /// Retries segments whose write failed. Call it from a single thread, other
  /// than the one that flushes, so that a hanging store doesn't delay new
  /// bills.
  void retryFailedSegments(steady_time Now);
  /// Records that a peer holds copies of a segment's bills. The nonce is the
  /// segment's number.
  void confirmCustody(const vm_id &Peer, std::uint64_t Nonce);
  /// Blocks until a bill is queued or the timeout expires.
  void waitForQueuedBills(milliseconds Timeout);

  /// Whether the process can exit without losing bills: each bill is written
  /// or held by enough peers.
  bool isSafeToStop();
  bill_committer_counts counts();

private:
  /// Bills that are written together under one store key.
  struct segment {
    std::uint64_t Number = 0;
    /// The flushing thread could not write the segment, or did not try because
    /// the store was unavailable, and has handed it to the retrying thread.
    bool NeedsRetry = false;
    std::vector<std::uint64_t> Tickets;
    std::vector<std::string> Bills;
    std::vector<std::string> Keys;
    /// Peers that confirmed custody of the bills.
    std::set<vm_id> Holders;
    /// Peers that were sent a custody request.
    std::set<vm_id> RequestedPeers;
  };

  enum class write_outcome { Written, Failed };

  /// Moves queued bills to a new segment; null if no bill is queued.
  std::shared_ptr<segment> takeNewSegment();
  write_outcome write(const segment &Segment);
  /// Marks the segment as written and releases the peers' copies.
  void completeSegment(const std::shared_ptr<segment> &Segment);
  /// Sends custody requests to as many further peers as copies are missing.
  void requestCustody(const std::shared_ptr<segment> &Segment);
  void setState(const segment &Segment, bill_state State);
  std::string storeKeyOf(const segment &Segment) const;

  store &Store;
  custody_client &Custody;
  const vm_id Self;
  const std::uint64_t Incarnation;
  const bill_committer_settings Settings;

  ranked_mutex Mutex{lock_rank::Ledger};
  /// Signals a queued bill or a changed bill state.
  std::condition_variable_any Changed;
  struct queued_bill {
    std::uint64_t Ticket;
    std::string Bill;
    std::string Key;
  };
  std::deque<queued_bill> Queue;
  /// By ticket.
  std::map<std::uint64_t, bill_state> States;
  /// Segments that are not written yet, by number. The number is also the nonce
  /// of the segment's custody requests.
  std::map<std::uint64_t, std::shared_ptr<segment>> UnwrittenSegments;
  std::uint64_t NextTicket = 1;
  std::uint64_t NextSegmentNumber = 1;
  /// Used only by the flushing thread.
  steady_time NextWriteAt{};
  /// Used only by the retrying thread.
  steady_time NextRetryAt{};
  std::atomic<bool> IsStoreUnavailable = false;
  bill_committer_counts Counts;
};

} // namespace azurehaven
