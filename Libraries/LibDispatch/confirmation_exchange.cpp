#include "LibDispatch/confirmation_exchange.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Readings kept for one VM. They arrive several times per second, and the
/// store confirms a version at least every few seconds.
constexpr std::size_t MaxPendingReadings = 32;
constexpr std::chrono::seconds PeerRetention{10};
/// Some of the VMs that ask the store may fail at the same time.
constexpr std::size_t MinimumAskingVms = 3;
constexpr std::size_t VmsPerAskingVm = 8;

} // namespace

void confirmation_exchange::onClockReading(const vm_id &Peer,
                                           std::uint64_t Incarnation,
                                           milliseconds Reading,
                                           steady_time Now) {
  peer_clock &Clock = Clocks[Peer];
  // The clock of a VM that was replaced may have started anew.
  if (Clock.Incarnation != Incarnation)
    Clock = {};
  Clock.Incarnation = Incarnation;
  Clock.LastReceivedAt = Now;
  Clock.Pending.push_back({Reading, Now});
  if (Clock.Pending.size() > MaxPendingReadings)
    Clock.Pending.pop_front();
}

void confirmation_exchange::onConfirmed(std::uint64_t NewVersion,
                                        steady_time At) {
  Version = NewVersion;
  for (auto &[Peer, Clock] : Clocks)
    while (!Clock.Pending.empty() && Clock.Pending.front().ReceivedAt <= At) {
      Clock.Confirmed = Clock.Pending.front().Reading;
      Clock.Pending.pop_front();
    }
}

std::optional<passed_confirmation>
confirmation_exchange::confirmationFor(const vm_id &Peer) const {
  auto Found = Clocks.find(Peer);
  if (Found == Clocks.end() || !Found->second.Confirmed)
    return std::nullopt;
  return passed_confirmation{Version, Found->second.Incarnation,
                             *Found->second.Confirmed};
}

void confirmation_exchange::expire(steady_time Now) {
  std::erase_if(Clocks, [&](const auto &Entry) {
    return Now - Entry.second.LastReceivedAt > PeerRetention;
  });
}

std::optional<steady_time> provenTimeOf(const passed_confirmation &Confirmation,
                                        std::uint64_t OwnVersion,
                                        std::uint64_t OwnIncarnation,
                                        steady_time Now) {
  // Compared before the conversion, which an absurd reading would overflow.
  const bool IsOwnReading = Confirmation.Incarnation == OwnIncarnation &&
                            Confirmation.ClockReading >= milliseconds(0) &&
                            Confirmation.ClockReading <= clockReadingAt(Now);
  if (!IsOwnReading || Confirmation.Version != OwnVersion)
    return std::nullopt;
  return steady_time(Confirmation.ClockReading);
}

std::size_t askingVmCount(std::size_t Vms) {
  return std::max(MinimumAskingVms,
                  (Vms + VmsPerAskingVm - 1) / VmsPerAskingVm);
}

milliseconds clockReadingAt(steady_time Now) {
  return std::chrono::floor<milliseconds>(Now.time_since_epoch());
}

} // namespace azurehaven
