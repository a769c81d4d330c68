#include "LibRelay/bill_journal.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace azurehaven {

namespace {

using nlohmann::json;

/// What a death of the process may lose. Each segment costs a call to the store
/// and wakes the watch of every VM.
constexpr milliseconds SegmentEvery{12000};
constexpr milliseconds RetryEvery{1000};
/// Bills in one segment: some 200 bytes each, below the store's largest value.
constexpr std::size_t SegmentLimit = 2000;
/// Bills kept while the store is away; later ones are lost, with a log line.
constexpr std::size_t WaitingLimit = 50000;

} // namespace

bill_journal::bill_journal(async_store &Store, event_scheduler &Scheduler,
                           const event_log &Log, metrics &Metrics,
                           const vm_id &Vm, std::uint64_t Incarnation)
    : Store(Store), Scheduler(Scheduler), Log(Log), Metrics(Metrics),
      KeyPrefix(BillSegmentPrefix + Vm.text() + "/" +
                std::to_string(Incarnation) + "/") {}

void bill_journal::start() { writeLater(); }

void bill_journal::writeLater() {
  Scheduler.runAfter(SegmentEvery, [this] {
    write();
    writeLater();
  });
}

void bill_journal::add(const bill &Bill) {
  Metrics.increment("azurehaven_bills_total");
  if (Waiting.size() < WaitingLimit)
    return Waiting.push_back(Bill);
  Metrics.increment("azurehaven_lost_bills_total");
  Log.write(log_level::Error, "bill_lost",
            {{"request", Bill.Request.text()},
             {"account", Bill.Account.text()},
             {"reason", "too many bills wait for the store"}});
}

void bill_journal::flush() { write(); }

void bill_journal::write() {
  if (IsWriting)
    return;
  if (InWriting.empty()) {
    const std::size_t Count = std::min(Waiting.size(), SegmentLimit);
    if (Count == 0)
      return;
    const auto End = Waiting.begin() + static_cast<std::ptrdiff_t>(Count);
    InWriting.assign(Waiting.begin(), End);
    Waiting.erase(Waiting.begin(), End);
  }
  IsWriting = true;
  const std::string Key = KeyPrefix + std::to_string(NextSegment);
  store_transaction Transaction;
  Transaction.Conditions.push_back({Key, 0});
  Transaction.Puts.push_back({Key, encodeBillSegment(InWriting), NoLease});
  Store.commit(std::move(Transaction), [this](result<std::uint64_t> Result) {
    IsWriting = false;
    onWritten(Result);
  });
}

void bill_journal::onWritten(const result<std::uint64_t> &Result) {
  // The key is this process's own: if it exists, an earlier write whose answer
  // was lost has taken effect.
  const bool IsWritten =
      !isError(Result) || errorOf(Result).Code == error_code::Conflict;
  if (!IsWritten) {
    Log.write(log_level::Warning, "bills_not_written",
              {{"bills", std::to_string(InWriting.size())},
               {"reason", errorOf(Result).Message}});
    Scheduler.runAfter(RetryEvery, [this] { write(); });
    return;
  }
  ++NextSegment;
  InWriting.clear();
  if (Waiting.size() >= SegmentLimit)
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
    return error{error_code::InvalidInput, "not a segment of bills"};
  std::vector<bill> Bills;
  for (const auto &Entry : Segment) {
    if (!Entry.is_string())
      return error{error_code::InvalidInput, "not a bill"};
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
      continue; // Not written by any VM of ours.
    for (auto &Bill : valueOf(Bills))
      Ledger.emplace(Bill.key(), std::move(Bill));
  }
  return Ledger;
}

} // namespace azurehaven
