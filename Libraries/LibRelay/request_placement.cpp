#include "LibRelay/request_placement.h"

#include "LibDispatch/candidate_filter.h"
#include "LibTypes/fingerprint.h"

#include <cmath>

namespace azurehaven {

namespace {

/// Steps in which subjects are dealt to the shares of a roll-out.
constexpr std::uint64_t DrawSteps = 100003;

model_id modelOf(const admitted_request &Subject,
                 std::optional<std::size_t> ModelIndex) {
  return ModelIndex ? Subject.Route->ModelsBySize[*ModelIndex] : model_id();
}

/// Requests about one thing draw the same number, so that they move to a new
/// release together and their prompts stay cached.
double subjectDraw(const admitted_request &Subject) {
  const auto &Prompt = Subject.Request.Prompt;
  const std::uint64_t Key = Prompt.size() < 2
                                ? Subject.Session
                                : fingerprintOf(Prompt[Prompt.size() - 2].Id);
  return static_cast<double>(Key % DrawSteps) / DrawSteps;
}

} // namespace

std::shared_ptr<endpoint_record>
placeRequest(const fleet_state &Fleet, const admitted_request &Subject,
             const std::set<endpoint_id> &Tried,
             std::optional<std::size_t> ModelIndex, steady_time Now) {
  placement_parameters Terms;
  Terms.OwnDomain = Fleet.Domain;
  Terms.Tried = Tried;
  Terms.Model = modelOf(Subject, ModelIndex);
  if (ModelIndex)
    Terms.WorkPerToken = Fleet.Models.workPerToken(*Subject.Route, *ModelIndex);
  const release_rule Rule = Fleet.Rollouts.ruleFor(Subject.Service, Now);
  const release_choice Choice = chooseRelease(
      Rule, Fleet.Pins.releaseOf(Subject.Session, Now), subjectDraw(Subject));
  const endpoint_list Candidates = candidatesFor(
      Fleet.Endpoints.endpointsOf(Subject.Service), Rule, Choice, Now);
  return Subject.isForEngines()
             ? selectEngine(Subject.Request, Candidates, Terms, Now)
             : selectLeastLoaded(Candidates, Terms, Now);
}

double promptWorkOn(const fleet_state &Fleet, const admitted_request &Subject,
                    std::optional<std::size_t> ModelIndex,
                    const endpoint_record &Endpoint, steady_time Now) {
  if (!ModelIndex)
    return 0;
  const dispatch_request &Request = Subject.Request;
  const std::uint32_t Shared = sharedPrefixTokens(Request);
  const std::uint32_t Own =
      Request.PromptTokens > Shared ? Request.PromptTokens - Shared : 0;
  const bool IsCached = isProbablyCached(
      Endpoint, sharedPrefixKey(Request, modelOf(Subject, ModelIndex)), Now);
  return (Own + (IsCached ? 0 : Shared)) *
         Fleet.Models.workPerToken(*Subject.Route, *ModelIndex);
}

milliseconds estimatedBacklog(const fleet_state &Fleet,
                              const service_id &Service, steady_time Now) {
  const double Work =
      meanPendingPromptWork(Fleet.Endpoints.endpointsOf(Service), Now);
  return milliseconds(std::llround(Fleet.PromptPace.estimatedMs(Work)));
}

void recordSend(fleet_state &Fleet, const admitted_request &Subject,
                std::optional<std::size_t> ModelIndex,
                endpoint_record &Endpoint, steady_time Now) {
  if (ModelIndex)
    recordSentPrefix(
        Endpoint,
        sharedPrefixKey(Subject.Request, modelOf(Subject, ModelIndex)), Now);
  refreshSessionPin(Fleet, Subject, Endpoint, Now);
}

void refreshSessionPin(fleet_state &Fleet, const admitted_request &Subject,
                       const endpoint_record &Endpoint, steady_time Now) {
  if (!Subject.Request.Session.empty())
    Fleet.Pins.addLocal(Subject.Session, Endpoint.Descriptor.Release, Now);
}

} // namespace azurehaven
