#include "LibDispatch/brittle_admission.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Longer than the second in which an endpoint counts its rejections, by what a
/// message may be delayed.
constexpr milliseconds PauseAfterRejection{1200};
constexpr milliseconds PauseSpread{600};
/// Kept back for VMs that disagree about who uses the endpoint.
constexpr double ReservedRejections = 1;

} // namespace

brittle_quota shareRejections(double PerSecond, std::size_t VmCount,
                              std::size_t EndpointCount) {
  const double Vms = std::max(1.0, static_cast<double>(VmCount));
  const double Endpoints = std::max(1.0, static_cast<double>(EndpointCount));
  const double Shared =
      std::max(1.0, std::floor(PerSecond - ReservedRejections));
  const double Holders =
      std::min(std::max(Shared, std::ceil(Vms / Endpoints)), Vms);
  const double Each = std::max(1.0, std::floor(Shared / Holders));
  return {static_cast<std::size_t>(Holders), static_cast<std::size_t>(Each)};
}

bool isHolder(const brittle_quota &Quota, position Vm, position Endpoint) {
  const std::size_t First = Endpoint.Index * Vm.Count / Endpoint.Count;
  return (Vm.Index + Vm.Count - First) % Vm.Count < Quota.Holders;
}

void brittle_admission::onRejected(double SpreadFraction, steady_time Now) {
  if (!isBrittle())
    return;
  const auto Spread = std::chrono::duration_cast<steady_time::duration>(
      PauseSpread * SpreadFraction);
  PausedUntil = std::max(PausedUntil, Now + PauseAfterRejection + Spread);
}

} // namespace azurehaven
