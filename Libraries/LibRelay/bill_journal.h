#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibLedger/bill.h"
#include "LibLog/event_log.h"
#include "LibMetrics/metrics.h"
#include "LibStore/async_store.h"

#include <map>
#include <optional>
#include <vector>

namespace azurehaven {

/// Keys of bills: the prefix, the VM, its incarnation and a number.
constexpr const char *BillSegmentPrefix = "azurehaven/bills/";
/// The first text behind all of these keys ('0' follows '/').
constexpr const char *BillSegmentRangeEnd = "azurehaven/bills0";

/// Writes the bills of answered requests to the store in segments, off the way
/// of the answers. The ledger is the set of all bills by their keys, so that a
/// segment that is written twice counts once. A death of the process loses the
/// bills since its last segment. Lives on one event loop.
class bill_journal {
public:
  bill_journal(async_store &Store, event_scheduler &Scheduler,
               const event_log &Log, metrics &Metrics, const vm_id &Vm,
               std::uint64_t Incarnation);

  void start();
  void add(const bill &Bill);
  /// Writes what is waiting without delay, as before a planned stop.
  void flush();
  std::size_t pendingBillCount() const {
    return Waiting.size() + InWriting.size();
  }

private:
  void writeLater();
  void write();
  void onWritten(const result<std::uint64_t> &Result);

  async_store &Store;
  event_scheduler &Scheduler;
  const event_log &Log;
  metrics &Metrics;
  const std::string KeyPrefix;
  std::uint64_t NextSegment = 1;
  std::vector<bill> Waiting;
  /// The segment whose outcome is not known yet; written again under its key.
  std::vector<bill> InWriting;
  bool IsWriting = false;
};

std::string encodeBillSegment(const std::vector<bill> &Bills);
/// Returns InvalidInput for anything but a whole segment.
result<std::vector<bill>> decodeBillSegment(const std::string &Text);

/// The bills of all segments, each once.
std::map<std::string, bill>
mergeBillSegments(const std::vector<store_item> &Items);

} // namespace azurehaven
