#include "LibRelay/endpoint_shares.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Number of VMs that come before this one in the order of their ids.
std::size_t ownIndex(const fleet_state &Fleet) {
  const auto Members = Fleet.Members.all();
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Member) {
        return Member.Vm < Fleet.Self;
      }));
}

} // namespace

std::size_t vmCount(const fleet_state &Fleet) {
  return Fleet.Members.size() + (Fleet.Members.find(Fleet.Self) ? 0 : 1);
}

void updateRateShare(const fleet_state &Fleet, endpoint_record &Endpoint,
                     steady_time Now) {
  const auto &PerSecond = Endpoint.RateLimit.latest().PerSecond;
  if (!PerSecond)
    return;
  const std::size_t Holders =
      fleet_rate_limit::holderCount(*PerSecond, vmCount(Fleet));
  const bool IsHolder = Fleet.Members.isAmongPreferred(
      "rate/" + Endpoint.Descriptor.Id.text(), Fleet.Self, Holders);
  Endpoint.RateLimit.setShare(IsHolder ? 1 / static_cast<double>(Holders) : 0,
                              Now);
}

void updateBrittleQuotas(const fleet_state &Fleet) {
  // Hardly ever is there anything to share out, ten times a second.
  if (Fleet.BrittleServices.statements().empty())
    return;
  const std::size_t VmCount = vmCount(Fleet);
  const std::size_t VmIndex = ownIndex(Fleet);
  for (const auto &[Service, Statement] : Fleet.BrittleServices.statements()) {
    const endpoint_list &Endpoints = Fleet.Endpoints.endpointsOf(Service);
    if (!Statement.PerSecond) {
      for (const auto &Endpoint : Endpoints)
        Endpoint->Brittle.setQuota(std::nullopt);
      continue;
    }
    const brittle_quota Quota =
        shareRejections(*Statement.PerSecond, VmCount, Endpoints.size());
    for (std::size_t Index = 0; Index < Endpoints.size(); ++Index)
      Endpoints[Index]->Brittle.setQuota(
          isHolder(Quota, {VmIndex, VmCount}, {Index, Endpoints.size()})
              ? Quota.RequestsEach
              : 0);
  }
}

void updateShares(const fleet_state &Fleet, steady_time Now) {
  for (const auto &[Id, Endpoint] : Fleet.Endpoints.all())
    updateRateShare(Fleet, *Endpoint, Now);
  updateBrittleQuotas(Fleet);
}

} // namespace azurehaven
