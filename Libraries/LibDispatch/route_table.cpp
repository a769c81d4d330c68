#include "LibDispatch/route_table.h"

#include <algorithm>

namespace azurehaven {

double endpoint_pool::costPerThousandTokens(const model_id &Model) const {
  if (!Engine)
    return 0;
  for (const auto &Pricing : Engine->Models)
    if (Pricing.Model == Model)
      return Pricing.CostPerThousandTokens;
  return 0;
}

route_table::route_table(content NewContent) : Content(std::move(NewContent)) {
  for (const auto &Route : Content.Routes)
    ByHost[Route.Host].push_back(&Route);
  for (auto &[Host, Routes] : ByHost)
    std::sort(Routes.begin(), Routes.end(), [](const route *A, const route *B) {
      return A->PathPrefix.size() > B->PathPrefix.size();
    });
  for (const auto &Pool : Content.Pools)
    ByService[Pool.Service] = &Pool;
}

const route *route_table::match(const std::string &Host,
                                const std::string &Path) const {
  auto Found = ByHost.find(Host);
  if (Found == ByHost.end())
    return nullptr;
  for (const route *Route : Found->second)
    if (Path.starts_with(Route->PathPrefix))
      return Route;
  return nullptr;
}

const caller_account *route_table::accountOf(const std::string &Key) const {
  auto Found = Content.AccountsByKey.find(Key);
  return Found == Content.AccountsByKey.end() ? nullptr : &Found->second;
}

const endpoint_pool *route_table::pool(const service_id &Service) const {
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? nullptr : Found->second;
}

} // namespace azurehaven
