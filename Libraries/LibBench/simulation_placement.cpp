#include "LibBench/policy_simulation.h"

#include <algorithm>
#include <cmath>

namespace azurehaven::bench {

void simulation::placeByRouter(request_state &State) {
  routing_request Routing;
  Routing.Configuration = &Workload.Configuration;
  Routing.Account = &Workload.Configuration.Accounts.at(State.Request.Account);
  Routing.Class = &classOf(State);
  Routing.Fingerprint = State.Request.Fingerprint;
  const auto Before = std::chrono::steady_clock::now();
  auto Planned = routerOf(State).plan(Routing, Now, nullptr);
  DecisionTime += std::chrono::steady_clock::now() - Before;
  ++DecisionCount;
  if (std::holds_alternative<routing_refusal>(Planned))
    return refuse(State);
  routerOf(State).countRequest(State.Request.Account, Now);
  State.Plan = std::get<route_plan>(Planned);
  enterStage(State);
}

void simulation::enterStage(request_state &State) {
  admission_request Admission;
  Admission.Account = State.Request.Account;
  Admission.Priority = classOf(State).Priority;
  Admission.LatestStart = State.Request.ArrivedAt +
                          QueueTimeoutFactor * classOf(State).FirstTokenTarget;
  auto Result = routerOf(State).admit(stageOf(State).Version, Admission, Now);
  if (auto *Admitted = std::get_if<admitted>(&Result))
    return admit(State, Admitted->Ticket);
  if (auto *Queued = std::get_if<queued>(&Result)) {
    QueuedRequests[{State.Request.Vm, stageOf(State).Version, Queued->Ticket}] =
        State.Request.Index;
    return;
  }
  skipStage(State);
}

void simulation::skipStage(request_state &State) {
  if (State.Stage + 1 >= State.Plan.Stages.size())
    return refuse(State);
  ++State.Stage;
  enterStage(State);
}

void simulation::admit(request_state &State, admission_ticket Ticket) {
  State.Ticket = Ticket;
  State.AdmittedAt = Now;
  State.Excluded.clear();
  sendToEndpoint(State);
}

void simulation::leaveStage(request_state &State) {
  if (!State.Ticket)
    return;
  const auto Service =
      std::chrono::duration_cast<milliseconds>(Now - State.AdmittedAt);
  const admission_ticket Ticket = *State.Ticket;
  State.Ticket.reset();
  applyAdmissionProgress(
      State.Request.Vm, stageOf(State).Version,
      routerOf(State).release(stageOf(State).Version, Ticket, Service, Now));
}

std::optional<std::size_t>
simulation::takeQueuedRequest(const ticket_key &Key) {
  auto Found = QueuedRequests.find(Key);
  if (Found == QueuedRequests.end())
    return std::nullopt;
  const std::size_t Index = Found->second;
  QueuedRequests.erase(Found);
  return Index;
}

void simulation::sendToEndpoint(request_state &State) {
  State.Attempt = routerOf(State).startAttempt(stageOf(State).Version, 0,
                                               State.Request.Fingerprint,
                                               State.Excluded, Now);
  if (!State.Attempt) {
    leaveStage(State);
    return refuse(State);
  }
  sendToEngine(State, State.Attempt->Endpoint.Address.Port - 1,
               stageOf(State).Version);
}

void simulation::retryOrRefuse(request_state &State, attempt_outcome Outcome) {
  attempt_report Report;
  Report.Outcome = Outcome;
  routerOf(State).finishAttempt(*State.Attempt, classOf(State), Report, Now);
  State.Excluded.insert(State.Attempt->Endpoint.Id);
  State.Attempt.reset();
  const bool MayRetry =
      ++State.FailedAttempts < 4 &&
      routerOf(State).crashStatusOf(State.Request.Fingerprint) !=
          crash_status::Refused &&
      routerOf(State).tryTakeRetry(State.Request.Account, Now);
  if (MayRetry)
    return sendToEndpoint(State);
  leaveStage(State);
  refuse(State);
}

bench_view simulation::baselineView() const {
  return {&Workload, &Engines, &ReportedLoads, &DegradedVersions};
}

void simulation::placeByBaseline(request_state &State) {
  State.Placement = Baseline->place(State.Request, baselineView());
  if (!State.Placement)
    return refuse(State);
  sendToEngine(State, State.Placement->EngineIndex, State.Placement->Version);
}

} // namespace azurehaven::bench
