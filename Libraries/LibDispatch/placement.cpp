#include "LibDispatch/placement.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// A reported load is worth nothing after this time.
constexpr milliseconds ReportLife{2000};
/// How far above the mean load the preferred engine may be: a share of the
/// mean, and a number of requests so that light load does not scatter.
constexpr double ToleratedExcess = 1.25;
constexpr double ToleratedRequests = 4;
/// Requests by which a nearer endpoint may be more loaded than a farther one.
constexpr double NearBonus = 0.5;

bool isCandidate(const endpoint_record &Endpoint, const placement_terms &Terms,
                 steady_time Now) {
  return Endpoint.isUsable(Now) && !Terms.Tried.contains(Endpoint.Facts.Id);
}

/// What requests with the same cached beginning have in common: all parts but
/// the last, which belongs to the request itself.
std::string sharedBeginning(const dispatch_request &Request,
                            const model_id &Model) {
  if (Request.Prompt.empty())
    return Request.Path;
  const std::size_t Deepest =
      Request.Prompt.size() > 1 ? Request.Prompt.size() - 2 : 0;
  return Request.Prompt[Deepest].Id + "/" + Model.text();
}

} // namespace

double estimatedLoad(const endpoint_record &Endpoint, steady_time Now) {
  const double Own = Endpoint.InFlight;
  if (!Endpoint.Load || Now - Endpoint.Load->At > ReportLife)
    return Own;
  return std::max(Own, static_cast<double>(Endpoint.Load->Running +
                                           Endpoint.Load->Waiting));
}

std::shared_ptr<endpoint_record> placeOnEngine(const dispatch_request &Request,
                                               const endpoint_list &Candidates,
                                               const placement_terms &Terms,
                                               steady_time Now) {
  const std::string Beginning = sharedBeginning(Request, Terms.Model);
  double Total = 0;
  std::vector<std::pair<std::uint64_t, std::shared_ptr<endpoint_record>>> Order;
  for (const auto &Endpoint : Candidates) {
    if (!isCandidate(*Endpoint, Terms, Now))
      continue;
    Total += estimatedLoad(*Endpoint, Now);
    Order.emplace_back(rendezvousScore(Beginning, Endpoint->Facts.Id.text()),
                       Endpoint);
  }
  if (Order.empty())
    return nullptr;
  std::sort(Order.begin(), Order.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  const double Mean = Total / static_cast<double>(Order.size());
  const double Bound = Mean * ToleratedExcess + ToleratedRequests;
  for (const auto &[Score, Endpoint] : Order)
    if (estimatedLoad(*Endpoint, Now) <= Bound)
      return Endpoint;
  return Order.front().second;
}

std::shared_ptr<endpoint_record>
placeOnLeastLoaded(const endpoint_list &Candidates,
                   const placement_terms &Terms, steady_time Now) {
  std::shared_ptr<endpoint_record> Best;
  double BestLoad = 0;
  for (const auto &Endpoint : Candidates) {
    if (!isCandidate(*Endpoint, Terms, Now))
      continue;
    double Load = estimatedLoad(*Endpoint, Now) +
                  static_cast<double>(Endpoint->FailureShare) * 4;
    if (Endpoint->Facts.Domain == Terms.OwnDomain)
      Load -= NearBonus;
    if (Best && Load >= BestLoad)
      continue;
    Best = Endpoint;
    BestLoad = Load;
  }
  return Best;
}

} // namespace azurehaven
