#include "LibRelay/bill_journal.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace azurehaven {

namespace {

using nlohmann::json;

/// A crash of the process may lose the bills of this interval. A shorter one
/// costs more: each segment takes a store call and triggers the watch of every
/// VM.
constexpr milliseconds SegmentInterval{12000};
constexpr milliseconds RetryDelay{1000};
/// At about 200 bytes per bill, a segment stays below the maximum size of a
/// value in the store.
constexpr std::size_t MaxBillsPerSegment = 2000;
/// Bills kept while the store is unavailable; further ones are dropped and
/// logged.
constexpr std::size_t MaxPendingBills = 50000;

} // namespace

bill_journal::bill_journal(async_store &Store, event_scheduler &Scheduler,
                           const event_log &Log, metrics &Metrics,
                           const vm_id &Vm, std::uint64_t Incarnation)
    : Store(Store), Scheduler(Scheduler), Log(Log), Metrics(Metrics),
      KeyPrefix(BillSegmentPrefix + Vm.text() + "/" +
                std::to_string(Incarnation) + "/") {}

void bill_journal::start() { scheduleWrites(); }

void bill_journal::scheduleWrites() {
  Scheduler.runAfter(SegmentInterval, [this] {
    write();
    scheduleWrites();
  });
}

void bill_journal::add(const bill &Bill) {
  Metrics.increment("azurehaven_bills_total");
  if (Pending.size() < MaxPendingBills)
    return Pending.push_back(Bill);
  Metrics.increment("azurehaven_lost_bills_total");
  Log.write(log_level::Error, "bill_lost",
            {{"request", Bill.Request.text()},
             {"account", Bill.Account.text()},
             {"reason", "too many bills are pending"}});
}

void bill_journal::flush() { write(); }

void bill_journal::write() {
  if (IsWriting)
    return;
  if (CurrentSegment.empty()) {
    const std::size_t Count = std::min(Pending.size(), MaxBillsPerSegment);
    if (Count == 0)
      return;
    const auto End = Pending.begin() + static_cast<std::ptrdiff_t>(Count);
    CurrentSegment.assign(Pending.begin(), End);
    Pending.erase(Pending.begin(), End);
  }
  IsWriting = true;
  const std::string Key = KeyPrefix + std::to_string(NextSegment);
  store_transaction Transaction;
  Transaction.Conditions.push_back({Key, 0});
  Transaction.Puts.push_back({Key, encodeBillSegment(CurrentSegment), NoLease});
  Store.commit(std::move(Transaction), [this](result<std::uint64_t> Result) {
    IsWriting = false;
    onWritten(Result);
  });
}

void bill_journal::onWritten(const result<std::uint64_t> &Result) {
  // Only this process writes the key. If it exists, an earlier write whose
  // response was lost has succeeded.
  const bool IsWritten =
      !isError(Result) || errorOf(Result).Code == error_code::Conflict;
  if (!IsWritten) {
    Log.write(log_level::Warning, "bills_not_written",
              {{"bills", std::to_string(CurrentSegment.size())},
               {"reason", errorOf(Result).Message}});
    Scheduler.runAfter(RetryDelay, [this] { write(); });
    return;
  }
  ++NextSegment;
  CurrentSegment.clear();
  if (Pending.size() >= MaxBillsPerSegment)
    write();
}

std::string encodeBillSegment(const std::vector<bill> &Bills) {
  json Segment = json::array();
  for (const auto &Bill : Bills)
    Segment.push_back(encodeBill(Bill));
  return Segment.dump();
}

result<std::vector<bill>> decodeBillSegment(const std::string &Text) {
  const json Segment = json::parse(Text, nullptr, false);
  if (!Segment.is_array())
    return error{error_code::InvalidInput, "bill segment is not a JSON array"};
  std::vector<bill> Bills;
  for (const auto &Entry : Segment) {
    if (!Entry.is_string())
      return error{error_code::InvalidInput,
                   "bill segment contains an element that is not a string"};
    TRY(auto Bill, decodeBill(Entry.get<std::string>()));
    Bills.push_back(std::move(Bill));
  }
  return Bills;
}

std::map<std::string, bill>
mergeBillSegments(const std::vector<store_item> &Items) {
  std::map<std::string, bill> Ledger;
  for (const auto &Item : Items) {
    if (!Item.Key.starts_with(BillSegmentPrefix))
      continue;
    auto Bills = decodeBillSegment(Item.Value);
    if (isError(Bills))
      continue; // No VM of this system writes such a value.
    for (auto &Bill : valueOf(Bills))
      Ledger.emplace(Bill.key(), std::move(Bill));
  }
  return Ledger;
}

} // namespace azurehaven
