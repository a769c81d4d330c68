#include "LibDispatch/service_paths.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Endpoints that can't be connected to before the path is suspected, if
/// nothing comes from the service any more; a single one may have crashed.
constexpr std::size_t UnreachableWhileSilent = 2;
/// The same while older connections still deliver something, so that the others
/// may have crashed: a part of all endpoints, and this many.
constexpr double UnreachablePart = 1.0 / 3;
constexpr std::size_t UnreachableWhileReceiving = 3;
/// Bytes may have been under way when the path was lost.
constexpr milliseconds TransitTime{100};
/// A failed connection counts for this long.
constexpr milliseconds UnreachableLifetime{2500};
/// Another VM reaches the service if it received something within this time,
/// some notices included.
constexpr milliseconds PeerReachLifetime{1500};
/// Connections in a row after which the path is back. A link that loses packets
/// lets single ones through.
constexpr std::size_t ProbesToRegain = 2;

std::size_t unreachableNeeded(std::size_t EndpointCount, bool IsSilent) {
  if (IsSilent)
    return std::min(UnreachableWhileSilent, EndpointCount);
  const double Part = UnreachablePart * static_cast<double>(EndpointCount);
  return std::min(std::max(static_cast<std::size_t>(std::ceil(Part)),
                           UnreachableWhileReceiving),
                  EndpointCount);
}

} // namespace

std::uint64_t startHashOf(const endpoint_id &ProcessStart) {
  return fingerprintOf(ProcessStart.text());
}

bool service_paths::path_state::isSilent() const {
  return std::all_of(
      Unreachable.begin(), Unreachable.end(), [&](const auto &Entry) {
        return LastContact.At < Entry.second.LastAt + TransitTime;
      });
}

std::optional<service_paths::peer_sighting>
service_paths::path_state::witness(steady_time Now) const {
  const auto IsProof = [&](const peer_sighting &Sighting,
                           const failed_contacts &Failed) {
    if (Now - Sighting.At > PeerReachLifetime)
      return false;
    if (!Failed.WasConnected)
      return Sighting.At > Failed.FirstAt + TransitTime;
    return Sighting.At > Failed.FirstAt &&
           Sighting.At + TransitTime < Failed.LastAt;
  };
  for (const auto &[Start, Failed] : Unreachable) {
    const auto Found = PeerSightings.find(startHashOf(Start));
    if (Found != PeerSightings.end() && IsProof(Found->second, Failed))
      return Found->second;
    // An unnamed process start need not be the one that stands still.
    if (UnnamedSighting && !Failed.WasConnected &&
        IsProof(*UnnamedSighting, Failed))
      return UnnamedSighting;
  }
  return std::nullopt;
}

void service_paths::path_state::expire(steady_time Now) {
  std::erase_if(Unreachable, [&](const auto &Entry) {
    return Now - Entry.second.LastAt > UnreachableLifetime;
  });
  std::erase_if(PeerSightings, [&](const auto &Entry) {
    return Now - Entry.second.At > PeerReachLifetime;
  });
}

void service_paths::onReceived(const service_id &Service,
                               std::uint64_t StartHash, steady_time Now) {
  Paths[Service].LastContact = {Now, StartHash};
}

void service_paths::onConnected(const service_id &Service, steady_time) {
  auto Found = Paths.find(Service);
  if (Found != Paths.end() && !Found->second.LostSince)
    Found->second.Unreachable.clear();
}

std::optional<path_change>
service_paths::onUnreachable(const service_id &Service,
                             const endpoint_id &ProcessStart,
                             std::size_t EndpointCount, steady_time Now) {
  path_state &Path = Paths[Service];
  if (Path.LostSince)
    return std::nullopt;
  Path.expire(Now);
  failed_contacts &Failed =
      Path.Unreachable.try_emplace(ProcessStart, failed_contacts{Now, Now})
          .first->second;
  if (Failed.WasConnected)
    Failed = {Now, Now};
  Failed.LastAt = Now;
  return review(Service, EndpointCount, Now);
}

std::optional<path_change> service_paths::onUnanswered(
    const service_id &Service, const endpoint_id &ProcessStart,
    std::size_t EndpointCount, steady_time StartedAt, steady_time Now) {
  path_state &Path = Paths[Service];
  if (Path.LostSince)
    return std::nullopt;
  Path.expire(Now);
  const failed_contacts Unanswered{StartedAt, Now, /*WasConnected=*/true};
  const auto Known = Path.Unreachable.try_emplace(ProcessStart, Unanswered);
  if (Known.first->second.WasConnected)
    Known.first->second = Unanswered;
  return review(Service, EndpointCount, Now);
}

std::optional<path_change> service_paths::review(const service_id &Service,
                                                 std::size_t EndpointCount,
                                                 steady_time Now) {
  path_state &Path = Paths[Service];
  if (Path.LostSince)
    return std::nullopt;
  Path.expire(Now);
  const bool IsSuspected =
      !Path.Unreachable.empty() &&
      Path.Unreachable.size() >=
          unreachableNeeded(EndpointCount, Path.isSilent());
  if (!IsSuspected)
    return std::nullopt;
  const auto Witness = Path.witness(Now);
  if (!Witness)
    return std::nullopt;
  Path.LostSince = Now;
  Path.Probed.clear();
  path_change Change;
  for (const auto &[Start, Failed] : Path.Unreachable)
    Change.Endpoints.push_back(Start);
  Change.Witness = Witness->Vm;
  Change.WitnessAge =
      std::chrono::duration_cast<milliseconds>(Now - Witness->At);
  return Change;
}

std::vector<service_id> service_paths::suspectedServices() const {
  std::vector<service_id> Suspected;
  for (const auto &[Service, Path] : Paths)
    if (!Path.LostSince && !Path.Unreachable.empty())
      Suspected.push_back(Service);
  return Suspected;
}

void service_paths::onPeerReached(const vm_id &Vm, const service_id &Service,
                                  const service_contact &Contact) {
  path_state &Path = Paths[Service];
  steady_time &Latest = Path.PeerReachedAt[Vm];
  Latest = std::max(Latest, Contact.At);
  const peer_sighting Sighting{Vm, Contact.At};
  if (!Contact.StartHash) {
    Path.UnnamedSighting = Sighting;
    return;
  }
  const auto Known =
      Path.PeerSightings.try_emplace(*Contact.StartHash, Sighting).first;
  if (Known->second.At < Contact.At)
    Known->second = Sighting;
}

std::optional<path_change> service_paths::onProbed(const service_id &Service,
                                                   const endpoint_id &Endpoint,
                                                   bool IsReachable) {
  path_state &Path = Paths[Service];
  if (!Path.LostSince)
    return std::nullopt;
  if (!IsReachable) {
    Path.Probed.clear();
    return std::nullopt;
  }
  Path.Probed.push_back(Endpoint);
  if (Path.Probed.size() < ProbesToRegain)
    return std::nullopt;
  Path.LostSince.reset();
  Path.Unreachable.clear();
  path_change Change;
  Change.Direction = path_change::direction::Regained;
  Change.Endpoints = std::move(Path.Probed);
  return Change;
}

bool service_paths::isLost(const service_id &Service) const {
  return lostSince(Service).has_value();
}

std::optional<steady_time>
service_paths::lostSince(const service_id &Service) const {
  auto Found = Paths.find(Service);
  return Found == Paths.end() ? std::nullopt : Found->second.LostSince;
}

std::vector<service_id> service_paths::lostServices() const {
  std::vector<service_id> Lost;
  for (const auto &[Service, Path] : Paths)
    if (Path.LostSince)
      Lost.push_back(Service);
  return Lost;
}

bool service_paths::isReachedBy(const vm_id &Vm, const service_id &Service,
                                steady_time Now) const {
  auto Path = Paths.find(Service);
  if (Path == Paths.end())
    return false;
  auto Reached = Path->second.PeerReachedAt.find(Vm);
  return Reached != Path->second.PeerReachedAt.end() &&
         Now - Reached->second <= PeerReachLifetime;
}

steady_time service_paths::lastReceived(const service_id &Service) const {
  auto Found = Paths.find(Service);
  return Found == Paths.end() ? steady_time() : Found->second.LastContact.At;
}

steady_time service_paths::lastReceivedByAny(const service_id &Service) const {
  const auto Found = Paths.find(Service);
  if (Found == Paths.end())
    return {};
  steady_time Latest = Found->second.LastContact.At;
  for (const auto &Reached : Found->second.PeerReachedAt)
    Latest = std::max(Latest, Reached.second);
  return Latest;
}

std::map<service_id, service_contact> service_paths::lastContacts() const {
  std::map<service_id, service_contact> Contacts;
  for (const auto &[Service, Path] : Paths)
    Contacts[Service] = Path.LastContact;
  return Contacts;
}

} // namespace azurehaven
