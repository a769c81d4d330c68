#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace azurehaven {

/// Items to disseminate with heartbeats. Each new item is sent a bounded number
/// of times. Room left in a frame repeats all items in turn, so that a VM that
/// joins late receives every item. Not thread-safe.
/// Source: Demers et al., "Epidemic algorithms", 1987 (rumor mongering).
template <typename Key, typename Value> class gossip_buffer {
public:
  explicit gossip_buffer(std::size_t SendsPerItem)
      : SendsPerItem(SendsPerItem) {}

  const Value *find(const Key &Id) const {
    auto Found = Entries.find(Id);
    return Found == Entries.end() ? nullptr : &Found->second.Item;
  }

  /// Stores an item; the caller checks that it is newer than the stored one.
  void put(const Key &Id, Value Item) {
    Entries.insert_or_assign(Id, entry{std::move(Item), SendsPerItem});
  }

  void erase(const Key &Id) { Entries.erase(Id); }

  std::size_t size() const { return Entries.size(); }

  /// Items for the next frame: up to NewLimit new ones, then any items in turn
  /// until the frame holds RepeatLimit in all. Only the sends of new items
  /// count towards SendsPerItem.
  std::vector<Value> take(std::size_t NewLimit, std::size_t RepeatLimit) {
    std::vector<Value> Batch;
    takeNew(Batch, NewLimit);
    repeatInTurn(Batch, RepeatLimit);
    return Batch;
  }

  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Id, Entry] : Entries)
      Visit(Id, Entry.Item);
  }

private:
  struct entry {
    Value Item;
    std::size_t SendsLeft;
  };

  /// Starts after the new item that was sent last, so that constantly updated
  /// items do not starve the others.
  void takeNew(std::vector<Value> &Batch, std::size_t Limit) {
    auto It = Entries.upper_bound(LastNewKey);
    for (std::size_t Seen = 0; Seen < Entries.size() && Batch.size() < Limit;
         ++Seen) {
      if (It == Entries.end())
        It = Entries.begin();
      if (It->second.SendsLeft > 0) {
        --It->second.SendsLeft;
        Batch.push_back(It->second.Item);
        LastNewKey = It->first;
      }
      ++It;
    }
  }

  void repeatInTurn(std::vector<Value> &Batch, std::size_t Limit) {
    const std::size_t Wanted = std::min(Limit, Entries.size());
    auto It = Entries.upper_bound(LastRepeatedKey);
    for (std::size_t Seen = 0; Seen < Entries.size() && Batch.size() < Wanted;
         ++Seen) {
      if (It == Entries.end())
        It = Entries.begin();
      Batch.push_back(It->second.Item);
      LastRepeatedKey = It->first;
      ++It;
    }
  }

  const std::size_t SendsPerItem;
  std::map<Key, entry> Entries;
  Key LastNewKey{};
  Key LastRepeatedKey{};
};

} // namespace azurehaven
