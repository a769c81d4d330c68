#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibLedger/bill.h"
#include "LibLog/event_log.h"
#include "LibMetrics/metrics.h"
#include "LibStore/async_store.h"
#include "LibTypes/clock_source.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace azurehaven {

/// Segment keys consist of this prefix, the VM, its incarnation and a number.
constexpr const char *BillSegmentPrefix = "azurehaven/bills/";
/// Exclusive end of the range of segment keys ('0' follows '/' in ASCII).
constexpr const char *BillSegmentRangeEnd = "azurehaven/bills0";

/// Writes the bills of answered requests to the store in segments, without
/// delaying the responses. The ledger holds each bill once by its key, so a
/// segment that is written twice counts once. Written segments are kept for a
/// while and written again if the store is restored from an older copy. A crash
/// of the process loses the bills added since the last written segment. Used on
/// one event loop only.
class bill_journal {
public:
  bill_journal(async_store &Store, event_scheduler &Scheduler,
               const clock_source &Clock, const event_log &Log,
               metrics &Metrics, const vm_id &Vm, std::uint64_t Incarnation);

  void start();
  void add(const bill &Bill);
  /// Starts to write a segment of the pending bills at once, for example before
  /// a planned stop.
  void flush();
  /// Writes the retained segments again: the store was restored from an older
  /// copy, which may lack them.
  void onStoreRestored();
  /// Number of bills that the store has not acknowledged.
  std::size_t pendingBillCount() const;

private:
  struct segment {
    std::uint64_t Number = 0;
    std::vector<bill> Bills;
    /// When the store acknowledged it.
    steady_time WrittenAt;
  };

  void scheduleWrites();
  void write();
  void onWritten(const result<store_revision> &Result);
  /// Writes again once the latest write is long enough ago.
  void scheduleRetry();
  void retry();
  void retain(segment Written);
  /// Cuts the next segment from the pending bills; returns whether there is one
  /// to write.
  bool takeSegment();

  async_store &Store;
  event_scheduler &Scheduler;
  const clock_source &Clock;
  const event_log &Log;
  metrics &Metrics;
  const vm_id Vm;
  const std::string KeyPrefix;
  std::uint64_t NextSegment = 1;
  std::vector<bill> Pending;
  /// The segment that is being written. A failed write is retried under the
  /// same key, since its outcome may be unknown.
  std::optional<segment> CurrentSegment;
  bool IsWriting = false;
  steady_time LastAttemptAt;
  bool IsRetryScheduled = false;
  /// The store was restored while a segment was being written.
  bool WasRestored = false;
  /// Segments to write again after a restoration.
  std::deque<segment> Repeats;
  /// Recently acknowledged segments, oldest first.
  std::deque<segment> Retained;
};

/// Time until a VM writes its next segment. SpreadFraction, in [0, 1), differs
/// between VMs.
milliseconds timeUntilSegment(unix_millis WallNow, double SpreadFraction);

std::string encodeBillSegment(const std::vector<bill> &Bills);
/// Returns InvalidInput if the text is not a complete segment.
result<std::vector<bill>> decodeBillSegment(const std::string &Text);

/// The bills of all segments by their keys, without duplicates.
std::map<std::string, bill>
mergeBillSegments(const std::vector<store_item> &Items);

} // namespace azurehaven
