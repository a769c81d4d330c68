#include "LibFleet/era_record.h"

namespace azurehaven {

namespace {

/// A write that had no effect is repeated after this time; each call has a
/// cost, and the record only spares processes that start a short wait.
constexpr milliseconds RepeatInterval{3000};

} // namespace

void era_record::onRecord(const store_item &Item) {
  Recorded = Item.Value;
  RecordRevision = Item.Revision;
}

void era_record::onRecordRemoved() {
  Recorded.clear();
  RecordRevision = {};
}

void era_record::advance(steady_time Now) {
  const bool IsWaiting = WrittenAt && Now - *WrittenAt < RepeatInterval;
  if (!Era || isCurrent() || IsWaiting)
    return;
  WrittenAt = Now;
  // The condition lets only one of several writers take effect.
  store_transaction Transaction;
  Transaction.Conditions.push_back({EraRecordKey, RecordRevision});
  Transaction.Puts.push_back({EraRecordKey, std::to_string(*Era), NoLease});
  Store.commit(std::move(Transaction), [this](result<store_revision> Result) {
    if (isError(Result))
      Log.write(log_level::Info, "era_record_not_written",
                {{"reason", errorOf(Result).Message}});
  });
}

} // namespace azurehaven
