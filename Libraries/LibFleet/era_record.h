#pragma once

#include "LibLog/event_log.h"
#include "LibStore/async_store.h"

#include <optional>
#include <string>

namespace azurehaven {

constexpr const char *EraRecordKey = "azurehaven/settled-era";

/// A record in the store that names the latest era in which all writers have
/// had time to repeat their writes. A process that starts and finds the present
/// era there knows that the store was not restored just before. Used from one
/// event loop.
class era_record {
public:
  era_record(async_store &Store, const event_log &Log)
      : Store(Store), Log(Log) {}

  /// Call as this process reads the store for the first time, or after a
  /// restoration, before the items are applied.
  void onEraBegun() { Era = Store.reportedEra(); }
  void onRecord(const store_item &Item);
  void onRecordRemoved();
  /// Whether the store names its eras.
  bool hasEra() const { return Era.has_value(); }
  /// Whether the record names the era in which the store was read.
  bool isCurrent() const { return Era && Recorded == std::to_string(*Era); }
  /// Writes the record unless it is current. To be called several times a
  /// second, while this process knows that the era is settled.
  void advance(steady_time Now);

private:
  async_store &Store;
  const event_log &Log;
  /// The store's own number; nullopt if it names none.
  std::optional<std::uint64_t> Era;
  std::string Recorded;
  store_revision RecordRevision;
  std::optional<steady_time> WrittenAt;
};

} // namespace azurehaven
