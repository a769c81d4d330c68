#include "LibControl/configuration_currency.h"

#include <algorithm>

namespace azurehaven {

namespace {

std::size_t majorityOf(const std::set<vm_id> &Roster) {
  return Roster.size() / 2 + 1;
}

} // namespace

configuration_currency::configuration_currency(vm_id Self)
    : Self(std::move(Self)) {}

void configuration_currency::storeConfirmed(std::uint64_t Version,
                                            steady_time AskedAt) {
  std::lock_guard Lock(Mutex);
  if (ConfirmedAt && (Version < ConfirmedVersion || AskedAt <= *ConfirmedAt))
    return;
  ConfirmedAt = AskedAt;
  ConfirmedVersion = Version;
}

void configuration_currency::peerAnswered(const vm_id &Peer,
                                          const heartbeat &Answer,
                                          steady_time AskedAt) {
  // The store's confirmation travels on: the peer answered after AskedAt, so
  // the store spoke no earlier than the reported age before it. No clocks of
  // two VMs are compared.
  if (Answer.ConfirmationAge)
    storeConfirmed(Answer.ConfirmedVersion, AskedAt - *Answer.ConfirmationAge);
  std::lock_guard Lock(Mutex);
  peer_vouch &Vouch = Vouches[Peer];
  if (Vouch.AskedAt > AskedAt)
    return;
  Vouch = {Answer.ConfigVersion, Answer.MayVouch, AskedAt};
}

bool configuration_currency::isCurrent(std::uint64_t Version,
                                       const std::set<vm_id> &Roster,
                                       steady_time Now) {
  std::lock_guard Lock(Mutex);
  if (ConfirmedAt && ConfirmedVersion <= Version &&
      isFresh(*ConfirmedAt, Now)) {
    // Only now: to have heard of a version is not to hold it.
    HasRecovered = true;
    return true;
  }
  if (Roster.empty())
    return false;
  if (!HasRecovered) {
    if (!isRecoveredByPeers(Version, Roster, Now))
      return false;
    HasRecovered = true;
  }
  std::size_t Count = Roster.contains(Self) ? 1 : 0;
  for (const auto &[Vm, Vouch] : Vouches)
    if (Vm != Self && Roster.contains(Vm) && Vouch.MayVouch &&
        Vouch.Version <= Version && isFresh(Vouch.AskedAt, Now))
      ++Count;
  return Count >= majorityOf(Roster);
}

bool configuration_currency::isRecoveredByPeers(std::uint64_t Version,
                                                const std::set<vm_id> &Roster,
                                                steady_time Now) const {
  std::size_t Count = 0;
  for (const auto &[Vm, Vouch] : Vouches) {
    if (!Roster.contains(Vm) || !Vouch.MayVouch || !isFresh(Vouch.AskedAt, Now))
      continue;
    if (Vouch.Version > Version)
      return false;
    ++Count;
  }
  return Count >= majorityOf(Roster);
}

bool configuration_currency::mayVouch() const {
  std::lock_guard Lock(Mutex);
  return HasRecovered;
}

std::optional<std::pair<milliseconds, std::uint64_t>>
configuration_currency::confirmation(steady_time Now) const {
  std::lock_guard Lock(Mutex);
  if (!ConfirmedAt || !isFresh(*ConfirmedAt, Now))
    return std::nullopt;
  // Rounded up: an age may be overstated, never understated.
  auto Age = std::chrono::ceil<milliseconds>(Now - *ConfirmedAt);
  return std::pair(Age, ConfirmedVersion);
}

bool configuration_currency::isHeldByMajority(std::uint64_t Version,
                                              const std::set<vm_id> &Roster,
                                              steady_time Now) const {
  // The first configuration of all has no roster, and nobody who holds another.
  if (Roster.empty())
    return true;
  std::lock_guard Lock(Mutex);
  std::size_t Count = Roster.contains(Self) ? 1 : 0;
  for (const auto &[Vm, Vouch] : Vouches)
    if (Vm != Self && Roster.contains(Vm) && Vouch.MayVouch &&
        Vouch.Version >= Version && isFresh(Vouch.AskedAt, Now))
      ++Count;
  return Count >= majorityOf(Roster);
}

} // namespace azurehaven
