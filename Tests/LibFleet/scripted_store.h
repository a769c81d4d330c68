#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibStore/async_store.h"

#include <algorithm>
#include <map>
#include <vector>

namespace azurehaven {

/// An in-memory store whose outages and expired leases are set by a test.
class scripted_store : public async_store {
public:
  explicit scripted_store(event_scheduler &Scheduler) : Scheduler(Scheduler) {}

  void put(const std::string &Key, const std::string &Value) {
    Items[Key] = {Key, Value, ++Revision, NoLease};
    notifyWatch({Key, Revision, Items[Key]});
  }
  void remove(const std::string &Key) {
    Items.erase(Key);
    notifyWatch({Key, ++Revision, std::nullopt});
  }
  /// Removes a key without notifying the watch.
  void removeSilently(const std::string &Key) {
    Items.erase(Key);
    ++Revision;
  }
  void breakWatch() {
    if (auto Handler = std::exchange(Watch, nullptr))
      Handler(error{error_code::OutcomeUnknown, "cut"});
  }
  void compactHistory() {
    if (auto Handler = std::exchange(Watch, nullptr))
      Handler(history_compacted{});
  }

  void readRange(const key_range &Keys,
                 store_handler<range_result> Handler) override {
    ++Reads;
    Scheduler.runAfter(Delay, [this, Keys, Handler] {
      if (IsDown)
        return Handler(error{error_code::Unavailable, "down"});
      range_result Range;
      Range.Revision = Revision;
      for (const auto &[Key, Item] : Items)
        if (Keys.contains(Key))
          Range.Items.push_back(Item);
      ItemsRead += Range.Items.size();
      Handler(Range);
    });
  }
  void watch(const std::string &, std::uint64_t After, milliseconds Wait,
             std::function<void(watch_outcome)> Handler) override {
    WatchedAfter = After;
    ++Watches;
    const auto Missed =
        std::find_if(History.begin(), History.end(), [&](const auto &Change) {
          return Change.Revision > After;
        });
    if (Missed != History.end() && !IsDown)
      return Handler(store_changes{{Missed, History.end()}, Revision});
    Watch = Handler;
    const std::uint64_t Number = Watches;
    Scheduler.runAfter(Wait, [this, Number] {
      if (Number != Watches || !Watch)
        return;
      auto Expired = std::exchange(Watch, nullptr);
      if (IsDown)
        Expired(error{error_code::Unavailable, "down"});
      else
        Expired(store_changes{{}, Revision});
    });
  }
  void commit(store_transaction Transaction,
              store_handler<std::uint64_t> Handler) override {
    if (IsDown)
      return Handler(error{error_code::Unavailable, "down"});
    for (const auto &Put : Transaction.Puts) {
      Items[Put.Key] = {Put.Key, Put.Value, ++Revision, Put.Lease};
      Commits.push_back(Put);
    }
    Handler(Revision);
  }
  void grantLease(milliseconds, store_handler<lease_id> Handler) override {
    if (IsDown)
      return Handler(error{error_code::Unavailable, "down"});
    LiveLease = ++NextLease;
    Handler(LiveLease);
  }
  void renewLease(lease_id Lease, store_handler<success> Handler) override {
    ++Renewals;
    if (IsDown)
      return Handler(error{error_code::OutcomeUnknown, "down"});
    if (Lease != LiveLease)
      return Handler(error{error_code::NotFound, "no lease"});
    Handler(success{});
  }
  void endLease(lease_id Lease, store_handler<success> Handler) override {
    EndedLease = Lease;
    Handler(success{});
  }

  event_scheduler &Scheduler;
  std::map<std::string, store_item> Items;
  std::uint64_t Revision = 1;
  milliseconds Delay{4};
  bool IsDown = false;
  std::uint64_t Reads = 0;
  std::size_t ItemsRead = 0;
  std::uint64_t Watches = 0;
  std::uint64_t WatchedAfter = 0;
  std::uint64_t Renewals = 0;
  lease_id NextLease = 100;
  lease_id LiveLease = NoLease;
  lease_id EndedLease = NoLease;
  std::vector<store_put> Commits;

private:
  void notifyWatch(store_change Change) {
    History.push_back(Change);
    if (IsDown)
      return;
    if (auto Handler = std::exchange(Watch, nullptr))
      Handler(store_changes{{std::move(Change)}, Revision});
  }

  std::vector<store_change> History;

  std::function<void(watch_outcome)> Watch;
};

} // namespace azurehaven
