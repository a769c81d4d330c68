#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibStore/async_store.h"

#include <algorithm>
#include <map>
#include <vector>

namespace azurehaven {

/// An in-memory store whose outages, expired leases and restorations are set by
/// a test.
class scripted_store : public async_store {
public:
  /// The store's own number of the era in which it is created.
  static constexpr std::uint64_t FirstReportedEra = 7;

  explicit scripted_store(event_scheduler &Scheduler) : Scheduler(Scheduler) {}

  void put(const std::string &Key, const std::string &Value) {
    Items[Key] = {Key, Value, nextRevision(), NoLease};
    notifyWatch({Key, Revision, Items[Key]});
  }
  void remove(const std::string &Key) {
    Items.erase(Key);
    notifyWatch({Key, nextRevision(), std::nullopt});
  }
  /// Removes a key without notifying the watch.
  void removeSilently(const std::string &Key) {
    Items.erase(Key);
    nextRevision();
  }
  void breakWatch() {
    if (auto Handler = std::exchange(Watch, nullptr))
      Handler(error{error_code::OutcomeUnknown, "cut"});
  }
  void compactHistory() {
    if (auto Handler = std::exchange(Watch, nullptr))
      Handler(history_compacted{});
  }

  /// Keeps the present contents as the copy for restore().
  void makeCopy() { Copy = {Items, Revision.Number}; }
  /// Goes back to the copy in a new era. Leases end, and revision numbers after
  /// the copy's are given out again. Cuts the pending watch, and reports the
  /// restoration like the first response of the new era if asked to.
  void restore(bool IsReported = false) {
    Items = Copy.Items;
    Revision = {{Revision.Era.Number + 1}, Copy.RevisionNumber};
    for (auto &[Key, Item] : Items)
      Item.Revision.Era = Revision.Era;
    History.clear();
    LiveLease = NoLease;
    if (IsReported && RestorationHandler)
      RestorationHandler();
    breakWatch();
  }
  std::optional<std::uint64_t> reportedEra() const override {
    return FirstReportedEra + Revision.Era.Number;
  }
  void setRestorationHandler(std::function<void()> Handler) override {
    RestorationHandler = std::move(Handler);
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
  void watch(const std::string &, store_revision After, milliseconds Wait,
             std::function<void(watch_outcome)> Handler) override {
    ++Watches;
    if (After.Era != Revision.Era)
      return Handler(history_compacted{});
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
              store_handler<store_revision> Handler) override {
    if (IsDown)
      return Handler(error{error_code::Unavailable, "down"});
    for (const auto &Put : Transaction.Puts) {
      Items[Put.Key] = {Put.Key, Put.Value, nextRevision(), Put.Lease};
      Commits.push_back(Put);
      notifyWatch({Put.Key, Revision, Items[Put.Key]});
    }
    Handler(Revision);
  }
  void grantLease(milliseconds, store_handler<store_lease> Handler) override {
    if (IsDown)
      return Handler(error{error_code::Unavailable, "down"});
    LiveLease = {Revision.Era, ++NextLease};
    if (DelaysGrants)
      return Scheduler.runAfter(Delay,
                                [=, Granted = LiveLease] { Handler(Granted); });
    Handler(LiveLease);
  }
  void renewLease(store_lease Lease, store_handler<success> Handler) override {
    ++Renewals;
    if (IsDown)
      return Handler(error{error_code::OutcomeUnknown, "down"});
    if (Lease != LiveLease)
      return Handler(error{error_code::NotFound, "no lease"});
    Handler(success{});
  }
  void endLease(store_lease Lease, store_handler<success> Handler) override {
    EndedLease = Lease;
    Handler(success{});
  }

  event_scheduler &Scheduler;
  std::map<std::string, store_item> Items;
  store_revision Revision{{}, 1};
  milliseconds Delay{4};
  bool IsDown = false;
  bool DelaysGrants = false;
  std::uint64_t Reads = 0;
  std::size_t ItemsRead = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t NextLease = 100;
  store_lease LiveLease;
  store_lease EndedLease;
  std::vector<store_put> Commits;

private:
  struct copy {
    std::map<std::string, store_item> Items;
    std::uint64_t RevisionNumber = 0;
  };

  store_revision nextRevision() {
    ++Revision.Number;
    return Revision;
  }
  void notifyWatch(store_change Change) {
    History.push_back(Change);
    if (IsDown)
      return;
    if (auto Handler = std::exchange(Watch, nullptr))
      Handler(store_changes{{std::move(Change)}, Revision});
  }

  std::vector<store_change> History;
  copy Copy;
  std::function<void()> RestorationHandler;
  std::function<void(watch_outcome)> Watch;
};

} // namespace azurehaven
