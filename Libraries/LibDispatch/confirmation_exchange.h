#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace azurehaven {

/// A confirmation of the configuration that one VM passes to another.
struct passed_confirmation {
  /// The configuration version that the store confirmed as the latest.
  std::uint64_t Version = 0;
  /// The receiver's process start that sent the clock reading.
  std::uint64_t Incarnation = 0;
  /// The latest clock reading that the sender had received from the receiver
  /// when the store confirmed the version.
  milliseconds ClockReading{0};
};

/// Lets VMs pass on that the store has confirmed the configuration, so that
/// only a few of them need to ask the store often. Each VM sends its clock
/// readings to the others, and gets back one from before a confirmation: at
/// that time the version was not outdated yet, however long any message took.
/// Not thread-safe.
class confirmation_exchange {
public:
  /// Records a clock reading of another VM.
  void onClockReading(const vm_id &Peer, std::uint64_t Incarnation,
                      milliseconds Reading, steady_time Now);
  /// The store confirmed to this VM that the version was the latest at a time.
  void onConfirmed(std::uint64_t Version, steady_time At);
  /// What to send to a VM; nullopt if none of its readings is old enough.
  std::optional<passed_confirmation> confirmationFor(const vm_id &Peer) const;
  /// Drops VMs from which no reading has arrived for a while.
  void expire(steady_time Now);

private:
  struct clock_reading {
    milliseconds Reading{0};
    steady_time ReceivedAt;
  };
  struct peer_clock {
    std::uint64_t Incarnation = 0;
    /// Readings that are newer than the last confirmation, oldest first.
    std::deque<clock_reading> Pending;
    std::optional<milliseconds> Confirmed;
    steady_time LastReceivedAt;
  };

  std::map<vm_id, peer_clock> Clocks;
  std::uint64_t Version = 0;
};

/// The time, by the receiver's clock, at which a passed confirmation proves
/// that its configuration was the latest; nullopt if it proves nothing.
std::optional<steady_time> provenTimeOf(const passed_confirmation &Confirmation,
                                        std::uint64_t OwnVersion,
                                        std::uint64_t OwnIncarnation,
                                        steady_time Now);

/// Number of VMs, of this many, that ask the store often and pass on what it
/// confirms.
std::size_t askingVmCount(std::size_t Vms);

/// The reading of a clock that is sent to other VMs.
milliseconds clockReadingAt(steady_time Now);

} // namespace azurehaven
