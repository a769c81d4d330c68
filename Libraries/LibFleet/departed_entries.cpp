#include "LibFleet/departed_entries.h"

namespace azurehaven {

namespace {

/// A copy of the store is seconds old; the store keeps its history for 20 s.
constexpr std::chrono::seconds Retention{60};

} // namespace

void departed_entries::add(const std::string &Id, std::int64_t Incarnation,
                           steady_time Now) {
  ById[Id] = {Incarnation, Now};
}

bool departed_entries::contains(const std::string &Id,
                                std::int64_t Incarnation) const {
  auto Found = ById.find(Id);
  return Found != ById.end() && Incarnation <= Found->second.Incarnation;
}

void departed_entries::expire(steady_time Now) {
  std::erase_if(ById, [&](const auto &Entry) {
    return Now - Entry.second.At >= Retention;
  });
}

} // namespace azurehaven
