#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace azurehaven {

/// Facts to be spread by heartbeats: fresh ones are sent a bounded number of
/// times, and spare room repeats old ones in turn, so that a VM that joined
/// late learns everything. Not thread-safe.
/// Source: Demers et al., "Epidemic algorithms", 1987 (rumor mongering).
template <typename Key, typename Value> class rumor_board {
public:
  explicit rumor_board(std::size_t SendsOfFresh) : SendsOfFresh(SendsOfFresh) {}

  const Value *find(const Key &Id) const {
    auto Found = Entries.find(Id);
    return Found == Entries.end() ? nullptr : &Found->second.Fact;
  }

  /// Stores a fact that the caller knows to be newer than the one held.
  void put(const Key &Id, Value Fact) {
    Entries.insert_or_assign(Id, entry{std::move(Fact), SendsOfFresh});
  }

  void erase(const Key &Id) { Entries.erase(Id); }

  std::size_t size() const { return Entries.size(); }

  /// Facts for the next frame: up to FreshLimit fresh ones, then old ones in
  /// turn until there are RepeatLimit in all.
  std::vector<Value> take(std::size_t FreshLimit, std::size_t RepeatLimit) {
    std::vector<Value> Taken;
    takeFresh(Taken, FreshLimit);
    repeatOld(Taken, RepeatLimit);
    return Taken;
  }

  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Id, Entry] : Entries)
      Visit(Id, Entry.Fact);
  }

private:
  struct entry {
    Value Fact;
    std::size_t SendsLeft;
  };

  /// Goes on after the last one sent, so that facts which are renewed all the
  /// time do not keep the others back.
  void takeFresh(std::vector<Value> &Taken, std::size_t Limit) {
    auto It = Entries.upper_bound(LastFresh);
    for (std::size_t Seen = 0; Seen < Entries.size() && Taken.size() < Limit;
         ++Seen) {
      if (It == Entries.end())
        It = Entries.begin();
      if (It->second.SendsLeft > 0) {
        --It->second.SendsLeft;
        Taken.push_back(It->second.Fact);
        LastFresh = It->first;
      }
      ++It;
    }
  }

  void repeatOld(std::vector<Value> &Taken, std::size_t Limit) {
    const std::size_t Wanted = std::min(Limit, Entries.size());
    auto It = Entries.upper_bound(LastRepeated);
    for (std::size_t Seen = 0; Seen < Entries.size() && Taken.size() < Wanted;
         ++Seen) {
      if (It == Entries.end())
        It = Entries.begin();
      Taken.push_back(It->second.Fact);
      LastRepeated = It->first;
      ++It;
    }
  }

  const std::size_t SendsOfFresh;
  std::map<Key, entry> Entries;
  Key LastFresh{};
  Key LastRepeated{};
};

} // namespace azurehaven
