#include "LibDispatch/service_paths.h"

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

bool service_paths::path_state::isSilent() const {
  const auto First = std::min_element(
      Unreachable.begin(), Unreachable.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  return First == Unreachable.end() ||
         LastReceivedAt < First->second + TransitTime;
}

void service_paths::onReceived(const service_id &Service, steady_time Now) {
  Paths[Service].LastReceivedAt = Now;
}

void service_paths::onConnected(const service_id &Service, steady_time) {
  auto Found = Paths.find(Service);
  if (Found != Paths.end() && !Found->second.LostSince)
    Found->second.Unreachable.clear();
}

std::optional<path_change>
service_paths::onUnreachable(const service_id &Service,
                             const endpoint_id &Endpoint,
                             std::size_t EndpointCount, steady_time Now) {
  path_state &Path = Paths[Service];
  if (Path.LostSince)
    return std::nullopt;
  std::erase_if(Path.Unreachable, [&](const auto &Entry) {
    return Now - Entry.second > UnreachableLifetime;
  });
  Path.Unreachable[Endpoint] = Now;
  if (Path.Unreachable.size() <
      unreachableNeeded(EndpointCount, Path.isSilent()))
    return std::nullopt;
  const auto Witness = std::max_element(
      Path.PeerReachedAt.begin(), Path.PeerReachedAt.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Witness == Path.PeerReachedAt.end() ||
      !isReachedBy(Witness->first, Service, Now))
    return std::nullopt;
  Path.LostSince = Now;
  Path.Probed.clear();
  path_change Change;
  for (const auto &[Id, At] : Path.Unreachable)
    Change.Endpoints.push_back(Id);
  Change.Witness = Witness->first;
  Change.WitnessAge =
      std::chrono::duration_cast<milliseconds>(Now - Witness->second);
  return Change;
}

void service_paths::onPeerReached(const vm_id &Vm, const service_id &Service,
                                  steady_time At) {
  steady_time &Latest = Paths[Service].PeerReachedAt[Vm];
  Latest = std::max(Latest, At);
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
  return Found == Paths.end() ? steady_time() : Found->second.LastReceivedAt;
}

std::map<service_id, steady_time> service_paths::lastReceived() const {
  std::map<service_id, steady_time> Received;
  for (const auto &[Service, Path] : Paths)
    Received[Service] = Path.LastReceivedAt;
  return Received;
}

} // namespace azurehaven
