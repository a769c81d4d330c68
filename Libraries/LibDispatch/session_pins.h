#pragma once

#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

/// The release that served a session's latest request.
struct session_pin {
  std::uint64_t Session = 0;
  std::string Release;
  steady_time SeenAt;
};

/// Remembers for each session which release it is on, as long as its requests
/// follow each other. Shared between VMs by takeUnsent() and addRemote().
/// Not thread-safe.
class session_pins {
public:
  explicit session_pins(milliseconds SessionGap);

  /// This VM has served a request of the session; it is news for the others.
  void addLocal(std::uint64_t Session, const std::string &Release,
                steady_time Now);
  /// Another VM has.
  void addRemote(const session_pin &Pin);
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
