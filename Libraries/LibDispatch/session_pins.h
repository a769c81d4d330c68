#pragma once

#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

/// The VM that sent the request from which a pin comes.
enum class pin_source { ThisVm, Peer };

/// The source's name in logs.
const char *nameOf(pin_source Source);

/// The release that a session's latest request was sent to.
struct session_pin {
  std::uint64_t Session = 0;
  std::string Release;
  steady_time SeenAt;
  pin_source Source = pin_source::Peer;
};

/// Keeps the release that each session is pinned to, until no request has
/// arrived for longer than the session gap. VMs exchange pins through
/// takeUnsent() and merge(). Not thread-safe.
class session_pins {
public:
  explicit session_pins(milliseconds SessionGap);

  /// Records that this VM sent a request of the session to the release, and
  /// queues the pin for the other VMs.
  void addLocal(std::uint64_t Session, const std::string &Release,
                steady_time Now);
  /// Records a pin of another VM. An older one than the known pin has no
  /// effect.
  void merge(const session_pin &Pin);
  std::optional<session_pin> find(std::uint64_t Session, steady_time Now) const;
  std::optional<std::string> releaseOf(std::uint64_t Session,
                                       steady_time Now) const;
  std::vector<session_pin> takeUnsent();
  void expire(steady_time Now);
  std::size_t size() const { return Pins.size(); }

private:
  const milliseconds RetentionTime;
  std::map<std::uint64_t, session_pin> Pins;
  std::map<std::uint64_t, session_pin> Unsent;
};

} // namespace azurehaven
