#include "LibRelay/rate_share.h"

namespace azurehaven {

void updateRateShare(const fleet_state &Fleet, endpoint_record &Endpoint,
                     steady_time Now) {
  const auto &PerSecond = Endpoint.RateLimit.latest().PerSecond;
  if (!PerSecond)
    return;
  // This VM may not have been listed yet.
  const std::size_t VmCount =
      Fleet.Members.size() + (Fleet.Members.find(Fleet.Self) ? 0 : 1);
  const std::size_t Holders =
      fleet_rate_limit::holderCount(*PerSecond, VmCount);
  const bool IsHolder = Fleet.Members.isAmongPreferred(
      "rate/" + Endpoint.Descriptor.Id.text(), Fleet.Self, Holders);
  Endpoint.RateLimit.setShare(IsHolder ? 1 / static_cast<double>(Holders) : 0,
                              Now);
}

void updateRateShares(const fleet_state &Fleet, steady_time Now) {
  for (const auto &[Id, Endpoint] : Fleet.Endpoints.all())
    updateRateShare(Fleet, *Endpoint, Now);
}

} // namespace azurehaven
