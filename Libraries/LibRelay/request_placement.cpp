#include "LibRelay/request_placement.h"

#include "LibDispatch/candidate_filter.h"
#include "LibTypes/fingerprint.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Number of distinct samples by which requests are divided between releases.
constexpr std::uint64_t SampleSteps = 100003;

model_id modelOf(const admitted_request &Admitted,
                 std::optional<std::size_t> ModelIndex) {
  return ModelIndex ? Admitted.Route->ModelsBySize[*ModelIndex] : model_id();
}

double sampleOf(std::uint64_t Key) {
  return static_cast<double>(Key % SampleSteps) / SampleSteps;
}

release_samples samplesOf(const admitted_request &Admitted) {
  const auto &Prompt = Admitted.Request.Prompt;
  const double Session = sampleOf(Admitted.Session);
  // The last segment is specific to the request or its session.
  if (Prompt.size() < 2)
    return {Session, Session};
  return {Session, sampleOf(fingerprintOf(Prompt[Prompt.size() - 2].Id))};
}

/// Whether a request without a session was sent to a target that is not proven
/// yet. Its next attempt goes to another release, which serves the caller if
/// the target is bad, and tells whether the request fails anywhere if it is
/// not.
bool hasFailedOnTarget(const fleet_state &Fleet,
                       const admitted_request &Admitted,
                       const std::set<endpoint_id> &Tried,
                       const release_rule &Rule) {
  const bool IsOnTrial =
      Rule.Phase == rollout_phase::Trial || Rule.Phase == rollout_phase::Shift;
  if (!IsOnTrial || Admitted.isForEngines() ||
      !Admitted.Request.Session.empty())
    return false;
  return std::any_of(Tried.begin(), Tried.end(), [&](const endpoint_id &Id) {
    const auto Endpoint = Fleet.Endpoints.find(Id);
    return Endpoint && Endpoint->Descriptor.Release == Rule.Target;
  });
}

} // namespace

request_placement placeRequest(const fleet_state &Fleet,
                               const admitted_request &Admitted,
                               const std::set<endpoint_id> &Tried,
                               std::optional<std::size_t> ModelIndex,
                               steady_time Now) {
  placement_parameters Parameters;
  Parameters.OwnDomain = Fleet.Domain;
  Parameters.Tried = Tried;
  Parameters.Model = modelOf(Admitted, ModelIndex);
  if (ModelIndex)
    Parameters.WorkPerToken =
        Fleet.Models.workPerToken(*Admitted.Route, *ModelIndex);
  const endpoint_list Endpoints = Fleet.Endpoints.endpointsOf(Admitted.Service);
  request_placement Placement;
  release_rule &Rule = Placement.Rule;
  Rule = Fleet.Rollouts.ruleFor(Admitted.Service, Admitted.Route->Name, Now);
  Placement.Pin =
      Fleet.Pins.find(Admitted.Session, Rule.Target, Rule.Since, Now);
  Placement.Samples = samplesOf(Admitted);
  Placement.Decision = chooseRelease(
      Rule,
      Placement.Pin ? std::optional(Placement.Pin->Release) : std::nullopt,
      Placement.Samples);
  endpoint_list Candidates =
      candidatesFor(Endpoints, Rule, Placement.Decision.Choice, Now);
  if (hasFailedOnTarget(Fleet, Admitted, Tried, Rule)) {
    const endpoint_list Others =
        candidatesFor(Endpoints, Rule, release_choice::NotTarget, Now);
    if (!Others.empty()) {
      Placement.Decision = {release_choice::NotTarget,
                            release_reason::FailedOnTarget};
      Candidates = Others;
    }
  }
  Placement.Endpoint =
      Admitted.isForEngines()
          ? selectEngine(Admitted.Request, Candidates, Parameters, Now)
          : selectLeastLoaded(Candidates, Parameters, Now);
  return Placement;
}

bool isPromptCached(const admitted_request &Admitted,
                    std::optional<std::size_t> ModelIndex,
                    const endpoint_record &Endpoint, steady_time Now) {
  return !ModelIndex ||
         isProbablyCached(
             Endpoint,
             sharedPrefixKey(Admitted.Request, modelOf(Admitted, ModelIndex)),
             Now);
}

double promptWorkOn(const fleet_state &Fleet, const admitted_request &Admitted,
                    std::optional<std::size_t> ModelIndex,
                    const endpoint_record &Endpoint, steady_time Now) {
  if (!ModelIndex)
    return 0;
  const dispatch_request &Request = Admitted.Request;
  const std::uint32_t Shared = sharedPrefixTokens(Request);
  const std::uint32_t Own =
      Request.PromptTokens > Shared ? Request.PromptTokens - Shared : 0;
  const bool IsCached = isPromptCached(Admitted, ModelIndex, Endpoint, Now);
  return (Own + (IsCached ? 0 : Shared)) *
         Fleet.Models.workPerToken(*Admitted.Route, *ModelIndex);
}

milliseconds estimatedBacklog(const fleet_state &Fleet,
                              const service_id &Service, steady_time Now) {
  const double Work =
      meanPendingPromptWork(Fleet.Endpoints.endpointsOf(Service), Now);
  return milliseconds(std::llround(Fleet.PrefillTimes.estimatedMs(Work)));
}

void recordSend(fleet_state &Fleet, const admitted_request &Admitted,
                std::optional<std::size_t> ModelIndex,
                endpoint_record &Endpoint, steady_time Now) {
  if (ModelIndex)
    recordSentPrefix(
        Endpoint,
        sharedPrefixKey(Admitted.Request, modelOf(Admitted, ModelIndex)), Now);
  pinSession(Fleet, Admitted, Endpoint, Now);
  release_counts Counts;
  Counts.Attempts = 1;
  Fleet.ReleaseStatistics.addLocal(
      {Admitted.Service, Endpoint.Descriptor.Release, Admitted.Route->Name},
      Counts);
}

void pinSession(fleet_state &Fleet, const admitted_request &Admitted,
                const endpoint_record &Endpoint, steady_time Now) {
  if (!Admitted.Request.Session.empty())
    Fleet.Pins.addLocal(Admitted.Session, Endpoint.Descriptor.Release, Now);
}

} // namespace azurehaven
