#pragma once

#include "LibDispatch/request_fingerprint.h"
#include "LibTypes/units.h"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace azurehaven {

/// Families of requests of which one got a complete response on this VM lately.
/// Bounded. Not thread-safe.
class sound_families {
public:
  /// The families used least recently are dropped beyond this number.
  static constexpr std::size_t MaximumFamilies = 4096;

  void add(const request_fingerprint &Request, steady_time Now);
  bool contains(request_family Family) const {
    return Entries.contains(Family);
  }
  /// The families to which the hash of a request's content or of all its fields
  /// may belong, each with its content.
  std::vector<std::pair<request_family, std::uint64_t>>
  related(std::uint64_t Fingerprint) const;
  /// Drops families without a response for as long as crashes are kept.
  void expire(steady_time Now);

private:
  struct entry {
    std::uint64_t Content = 0;
    steady_time LastSoundAt;
  };

  /// Removes the oldest family unless it was used after it had been queued.
  void dropOldest();

  std::map<request_family, entry> Entries;
  /// When each family was added or last found in use, oldest first.
  std::deque<std::pair<request_family, steady_time>> Queue;
};

} // namespace azurehaven
