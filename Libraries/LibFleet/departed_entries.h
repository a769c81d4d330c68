#pragma once

#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace azurehaven {

/// Remembers which process starts were removed from the store, for longer than
/// a restored copy of the store can be old. Not thread-safe.
class departed_entries {
public:
  void add(const std::string &Id, std::int64_t Incarnation, steady_time Now);
  /// Whether this process start, or a later one under the same id, was removed.
  bool contains(const std::string &Id, std::int64_t Incarnation) const;
  void expire(steady_time Now);

private:
  struct departure {
    std::int64_t Incarnation = 0;
    steady_time At;
  };
  std::map<std::string, departure> ById;
};

} // namespace azurehaven
