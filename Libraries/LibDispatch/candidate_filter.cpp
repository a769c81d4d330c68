#include "LibDispatch/candidate_filter.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

endpoint_list usableEndpoints(const endpoint_list &Endpoints,
                              const release_rule &Rule, bool WantsTarget,
                              steady_time Now) {
  endpoint_list Usable;
  std::copy_if(Endpoints.begin(), Endpoints.end(), std::back_inserter(Usable),
               [&](const auto &Endpoint) {
                 const std::string &Release = Endpoint->Descriptor.Release;
                 return (Release == Rule.Target) == WantsTarget &&
                        !Rule.isWithdrawn(Release) && Endpoint->isUsable(Now);
               });
  return Usable;
}

/// A trial restricts the endpoints to about the same fraction as the requests,
/// so that each of them has the load that it will have after the roll-out.
void limitToTrialEndpoints(endpoint_list &Targets, double Share,
                           std::size_t Rotation) {
  const auto TrialCount = std::max<std::size_t>(
      1, static_cast<std::size_t>(
             std::ceil(static_cast<double>(Targets.size()) * Share)));
  if (Targets.size() <= TrialCount)
    return;
  std::sort(Targets.begin(), Targets.end(), [](const auto &A, const auto &B) {
    return rendezvousScore("trial", A->Descriptor.Id.text()) >
           rendezvousScore("trial", B->Descriptor.Id.text());
  });
  const std::size_t First = Rotation * TrialCount % Targets.size();
  std::rotate(Targets.begin(),
              Targets.begin() + static_cast<std::ptrdiff_t>(First),
              Targets.end());
  Targets.resize(TrialCount);
}

} // namespace

endpoint_list candidatesFor(const endpoint_list &Endpoints,
                            const release_rule &Rule, release_choice Choice,
                            steady_time Now) {
  if (Choice == release_choice::Any)
    return Endpoints;
  const bool WantsTarget = Choice == release_choice::Target;
  endpoint_list Candidates = usableEndpoints(Endpoints, Rule, WantsTarget, Now);
  const bool IsOnTrial = Rule.Phase == rollout_phase::Trial ||
                         Rule.Phase == rollout_phase::Rejected;
  if (WantsTarget && IsOnTrial)
    limitToTrialEndpoints(Candidates,
                          std::max(Rule.TrialEndpointShare, Rule.ShiftedShare),
                          Rule.TrialRotation);
  if (!Candidates.empty())
    return Candidates;
  const bool MayFallBack =
      WantsTarget || Rule.Phase == rollout_phase::Completed;
  if (!MayFallBack)
    return {};
  return usableEndpoints(Endpoints, Rule, !WantsTarget, Now);
}

} // namespace azurehaven
