#include "LibDispatch/session_pins.h"

namespace azurehaven {

namespace {

/// A pin is kept slightly longer than the gap that ends a session, because the
/// end times of requests are known only approximately.
constexpr double RetentionFactor = 1.3;
/// Maximum number of pinned sessions; a larger table would not fit into the
/// memory of a VM.
constexpr std::size_t MaximumPins = 200000;

} // namespace

const char *nameOf(pin_source Source) {
  return Source == pin_source::ThisVm ? "this_vm" : "peer";
}

session_pins::session_pins(milliseconds SessionGap)
    : RetentionTime(static_cast<std::int64_t>(
          static_cast<double>(SessionGap.count()) * RetentionFactor)) {}

void session_pins::addLocal(std::uint64_t Session, const std::string &Release,
                            steady_time Now) {
  const session_pin Pin{Session, Release, Now, pin_source::ThisVm};
  merge(Pin);
  Unsent[Session] = Pin;
}

void session_pins::merge(const session_pin &Pin) {
  auto Found = Pins.find(Pin.Session);
  if (Found != Pins.end()) {
    if (Found->second.SeenAt <= Pin.SeenAt)
      Found->second = Pin;
  } else if (Pins.size() < MaximumPins) {
    Pins.emplace(Pin.Session, Pin);
  }
}

std::optional<session_pin> session_pins::find(std::uint64_t Session,
                                              steady_time Now) const {
  auto Found = Pins.find(Session);
  if (Found == Pins.end() || Now - Found->second.SeenAt > RetentionTime)
    return std::nullopt;
  return Found->second;
}

std::optional<std::string> session_pins::releaseOf(std::uint64_t Session,
                                                   steady_time Now) const {
  const auto Pin = find(Session, Now);
  return Pin ? std::optional(Pin->Release) : std::nullopt;
}

std::vector<session_pin> session_pins::takeUnsent() {
  std::vector<session_pin> Taken;
  Taken.reserve(Unsent.size());
  for (auto &[Session, Pin] : Unsent)
    Taken.push_back(std::move(Pin));
  Unsent.clear();
  return Taken;
}

void session_pins::expire(steady_time Now) {
  std::erase_if(Pins, [&](const auto &Entry) {
    return Now - Entry.second.SeenAt > RetentionTime;
  });
}

} // namespace azurehaven
