#include "LibDispatch/session_pins.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// A pin is kept slightly longer than the gap that ends a session, because the
/// end times of requests are known only approximately.
constexpr double RetentionFactor = 1.3;
/// Maximum number of pinned sessions; a larger table would not fit into the
/// memory of a VM.
constexpr std::size_t MaximumPins = 200000;

void addTo(std::vector<session_pin> &Pins, const session_pin &Pin) {
  const auto Known =
      std::find_if(Pins.begin(), Pins.end(), [&](const session_pin &Other) {
        return Other.Release == Pin.Release;
      });
  if (Known == Pins.end())
    Pins.push_back(Pin);
  else if (Known->SeenAt <= Pin.SeenAt)
    *Known = Pin;
}

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
  addTo(Unsent[Session], Pin);
}

void session_pins::merge(const session_pin &Pin) {
  auto Found = Pins.find(Pin.Session);
  if (Found != Pins.end())
    addTo(Found->second, Pin);
  else if (Pins.size() < MaximumPins)
    Pins.emplace(Pin.Session, pin_list{Pin});
}

std::optional<session_pin> session_pins::find(std::uint64_t Session,
                                              const std::string &Target,
                                              steady_time Since,
                                              steady_time Now) const {
  auto Found = Pins.find(Session);
  if (Found == Pins.end())
    return std::nullopt;
  const session_pin *Latest = nullptr;
  for (const session_pin &Pin : Found->second) {
    if (isExpired(Pin, Now))
      continue;
    if (Pin.Release == Target && Pin.SeenAt >= Since)
      return Pin;
    if (!Latest || Latest->SeenAt < Pin.SeenAt)
      Latest = &Pin;
  }
  return Latest ? std::optional(*Latest) : std::nullopt;
}

std::vector<session_pin> session_pins::takeUnsent() {
  std::vector<session_pin> Taken;
  Taken.reserve(Unsent.size());
  for (auto &[Session, List] : Unsent)
    std::move(List.begin(), List.end(), std::back_inserter(Taken));
  Unsent.clear();
  return Taken;
}

std::vector<session_pin> session_pins::localPins(steady_time Now) const {
  std::vector<session_pin> Local;
  for (const auto &[Session, List] : Pins)
    std::copy_if(List.begin(), List.end(), std::back_inserter(Local),
                 [&](const session_pin &Pin) {
                   return Pin.Source == pin_source::ThisVm &&
                          !isExpired(Pin, Now);
                 });
  return Local;
}

void session_pins::expire(steady_time Now) {
  for (auto Entry = Pins.begin(); Entry != Pins.end();) {
    std::erase_if(Entry->second,
                  [&](const session_pin &Pin) { return isExpired(Pin, Now); });
    Entry = Entry->second.empty() ? Pins.erase(Entry) : std::next(Entry);
  }
}

} // namespace azurehaven
