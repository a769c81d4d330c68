#include "LibRelay/bill_journal.h"

#include "LibTypes/fingerprint.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace azurehaven {

namespace {

using nlohmann::json;

/// A crash of the process may lose the bills of this interval. A shorter one
/// costs more: each segment takes a store call and triggers the watch of every
/// VM.
constexpr milliseconds SegmentInterval{12000};
/// VMs write at the same wall-clock times, spread over this window, so that
/// their segments trigger each watch once instead of once per VM.
constexpr milliseconds WriteWindow{200};
constexpr milliseconds RetryDelay{1000};
/// At about 200 bytes per bill, a segment stays below the maximum size of a
/// value in the store.
constexpr std::size_t MaxBillsPerSegment = 2000;
/// Time for which an acknowledged segment is kept for a restoration; a copy of
/// the store is seconds old.
constexpr std::chrono::seconds RetentionTime{60};
/// Bills of acknowledged segments that are kept, about 200 bytes each.
constexpr std::size_t MaxRetainedBills = 20000;
/// Bills kept while the store is unavailable; further ones are dropped and
/// logged.
constexpr std::size_t MaxPendingBills = 50000;

} // namespace

bill_journal::bill_journal(async_store &Store, event_scheduler &Scheduler,
                           const clock_source &Clock, const event_log &Log,
                           metrics &Metrics, const vm_id &Vm,
                           std::uint64_t Incarnation)
    : Store(Store), Scheduler(Scheduler), Clock(Clock), Log(Log),
      Metrics(Metrics), Vm(Vm), KeyPrefix(BillSegmentPrefix + Vm.text() + "/" +
                                          std::to_string(Incarnation) + "/") {}

void bill_journal::start() { scheduleWrites(); }

void bill_journal::scheduleWrites() {
  Scheduler.runAfter(
      timeUntilSegment(Clock.wallNow(), rendezvousFraction("bills", Vm.text())),
      [this] {
        write();
        scheduleWrites();
      });
}

milliseconds timeUntilSegment(unix_millis WallNow, double SpreadFraction) {
  const auto Spread =
      std::chrono::duration_cast<milliseconds>(WriteWindow * SpreadFraction);
  const milliseconds SinceEpoch(WallNow.count());
  return SegmentInterval - (SinceEpoch - Spread) % SegmentInterval;
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

bool bill_journal::takeSegment() {
  if (CurrentSegment)
    return true;
  if (!Repeats.empty()) {
    CurrentSegment = std::move(Repeats.front());
    Repeats.pop_front();
    return true;
  }
  const std::size_t Count = std::min(Pending.size(), MaxBillsPerSegment);
  if (Count == 0)
    return false;
  const auto End = Pending.begin() + static_cast<std::ptrdiff_t>(Count);
  CurrentSegment = segment{NextSegment++, {Pending.begin(), End}, {}};
  Pending.erase(Pending.begin(), End);
  return true;
}

void bill_journal::write() {
  if (IsWriting || !takeSegment())
    return;
  IsWriting = true;
  LastAttemptAt = Scheduler.now();
  const std::string Key = KeyPrefix + std::to_string(CurrentSegment->Number);
  store_transaction Transaction;
  Transaction.Conditions.push_back({Key, {}});
  Transaction.Puts.push_back(
      {Key, encodeBillSegment(CurrentSegment->Bills), NoLease});
  Store.commit(std::move(Transaction), [this](result<store_revision> Result) {
    IsWriting = false;
    onWritten(Result);
  });
}

void bill_journal::onWritten(const result<store_revision> &Result) {
  // Only this process writes the key. If it exists, an earlier write whose
  // response was lost has succeeded.
  const bool IsWritten =
      !isError(Result) || errorOf(Result).Code == error_code::Conflict;
  if (!IsWritten) {
    Log.write(log_level::Warning, "bills_not_written",
              {{"bills", std::to_string(CurrentSegment->Bills.size())},
               {"reason", errorOf(Result).Message}});
    return scheduleRetry();
  }
  retain(std::move(*CurrentSegment));
  CurrentSegment.reset();
  // The store may have acknowledged the segment just before its restoration.
  if (std::exchange(WasRestored, false))
    return onStoreRestored();
  if (!Repeats.empty() || Pending.size() >= MaxBillsPerSegment)
    write();
}

void bill_journal::scheduleRetry() {
  if (std::exchange(IsRetryScheduled, true))
    return;
  Scheduler.runAfter(RetryDelay, [this] { retry(); });
}

void bill_journal::retry() {
  IsRetryScheduled = false;
  if (!CurrentSegment)
    return;
  // A flush may have failed meanwhile, too, or may be under way.
  if (Scheduler.now() - LastAttemptAt < RetryDelay)
    return scheduleRetry();
  write();
}

void bill_journal::retain(segment Written) {
  const steady_time Now = Scheduler.now();
  Written.WrittenAt = Now;
  Retained.push_back(std::move(Written));
  std::size_t Bills = 0;
  for (const auto &Segment : Retained)
    Bills += Segment.Bills.size();
  while (Bills > MaxRetainedBills ||
         Now - Retained.front().WrittenAt > RetentionTime) {
    Bills -= Retained.front().Bills.size();
    Retained.pop_front();
  }
}

void bill_journal::onStoreRestored() {
  if (IsWriting) {
    WasRestored = true;
    return;
  }
  const steady_time Now = Scheduler.now();
  std::size_t Bills = 0;
  for (auto &Segment : Retained) {
    if (Now - Segment.WrittenAt > RetentionTime)
      continue;
    Bills += Segment.Bills.size();
    Repeats.push_back(std::move(Segment));
  }
  Retained.clear();
  if (Bills == 0)
    return;
  Log.write(log_level::Warning, "bills_written_again",
            {{"bills", std::to_string(Bills)}});
  write();
}

std::size_t bill_journal::pendingBillCount() const {
  std::size_t Count = Pending.size();
  if (CurrentSegment)
    Count += CurrentSegment->Bills.size();
  for (const auto &Segment : Repeats)
    Count += Segment.Bills.size();
  return Count;
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
