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

/// A release that a session's requests were sent to, and when that was last
/// seen.
struct session_pin {
  std::uint64_t Session = 0;
  std::string Release;
  steady_time SeenAt;
  pin_source Source = pin_source::Peer;
};

/// Keeps the releases that each session has used, until none of its requests
/// has been seen there for longer than the session gap. Pins of different
/// releases stand side by side and only their times grow, so that VMs may learn
/// of them in any order, late or twice. Not thread-safe.
class session_pins {
public:
  explicit session_pins(milliseconds SessionGap);

  /// Records that this VM sent a request of the session to the release, and
  /// queues the pin for the other VMs.
  void addLocal(std::uint64_t Session, const std::string &Release,
                steady_time Now);
  /// Records a pin of another VM.
  void merge(const session_pin &Pin);
  /// The session's pin to the target, if it was seen there since this time, or
  /// else its latest pin.
  std::optional<session_pin> find(std::uint64_t Session,
                                  const std::string &Target, steady_time Since,
                                  steady_time Now) const;
  /// The queued pins, each once.
  std::vector<session_pin> takeUnsent();
  /// All pins that come from this VM.
  std::vector<session_pin> localPins(steady_time Now) const;
  void expire(steady_time Now);
  /// Number of pinned sessions.
  std::size_t size() const { return Pins.size(); }

private:
  /// The pins of one session, one for each release; hardly ever more than two.
  using pin_list = std::vector<session_pin>;

  bool isExpired(const session_pin &Pin, steady_time Now) const {
    return Now - Pin.SeenAt > RetentionTime;
  }

  const milliseconds RetentionTime;
  std::map<std::uint64_t, pin_list> Pins;
  std::map<std::uint64_t, pin_list> Unsent;
};

} // namespace azurehaven
