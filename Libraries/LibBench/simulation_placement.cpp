#include "LibBench/policy_simulation.h"

#include <algorithm>
#include <cmath>

namespace azurehaven::bench {

void simulation::placeByRouter(flow &Flow) {
  routing_request Routing;
  Routing.Configuration = &Load.Configuration;
  Routing.Account = &Load.Configuration.Accounts.at(Flow.Request.Account);
  Routing.Class = &classOf(Flow);
  Routing.Fingerprint = Flow.Request.Fingerprint;
  const auto Before = std::chrono::steady_clock::now();
  auto Planned = routerOf(Flow).plan(Routing, Now, nullptr);
  DecisionTime += std::chrono::steady_clock::now() - Before;
  ++DecisionCount;
  if (std::holds_alternative<routing_refusal>(Planned))
    return refuse(Flow);
  routerOf(Flow).countRequest(Flow.Request.Account);
  Flow.Plan = std::get<route_plan>(Planned);
  enterStage(Flow);
}

void simulation::enterStage(flow &Flow) {
  admission_request Admission;
  Admission.Account = Flow.Request.Account;
  Admission.Priority = classOf(Flow).Priority;
  Admission.LatestStart =
      Flow.Request.ArrivedAt + QueuePatience * classOf(Flow).FirstTokenTarget;
  auto Result = routerOf(Flow).admit(stageOf(Flow).Version, Admission, Now);
  if (auto *Admitted = std::get_if<admitted>(&Result))
    return admit(Flow, Admitted->Ticket);
  if (auto *Queued = std::get_if<queued>(&Result)) {
    Waiting[{Flow.Request.Vm, stageOf(Flow).Version, Queued->Ticket}] =
        Flow.Request.Index;
    return;
  }
  passStageOver(Flow);
}

void simulation::passStageOver(flow &Flow) {
  if (Flow.Stage + 1 >= Flow.Plan.Stages.size())
    return refuse(Flow);
  ++Flow.Stage;
  enterStage(Flow);
}

void simulation::admit(flow &Flow, admission_ticket Ticket) {
  Flow.Ticket = Ticket;
  Flow.AdmittedAt = Now;
  Flow.Excluded.clear();
  sendToEndpoint(Flow);
}

void simulation::leaveStage(flow &Flow) {
  if (!Flow.Ticket)
    return;
  const auto Service =
      std::chrono::duration_cast<milliseconds>(Now - Flow.AdmittedAt);
  const admission_ticket Ticket = *Flow.Ticket;
  Flow.Ticket.reset();
  play(Flow.Request.Vm, stageOf(Flow).Version,
       routerOf(Flow).release(stageOf(Flow).Version, Ticket, Service, Now));
}

std::optional<std::size_t> simulation::takeWaiting(const waiting_key &Key) {
  auto Found = Waiting.find(Key);
  if (Found == Waiting.end())
    return std::nullopt;
  const std::size_t Index = Found->second;
  Waiting.erase(Found);
  return Index;
}

void simulation::sendToEndpoint(flow &Flow) {
  Flow.Attempt = routerOf(Flow).startAttempt(
      stageOf(Flow).Version, 0, Flow.Request.Fingerprint, Flow.Excluded, Now);
  if (!Flow.Attempt) {
    leaveStage(Flow);
    return refuse(Flow);
  }
  deliver(Flow, Flow.Attempt->Endpoint.Address.Port - 1, stageOf(Flow).Version);
}

void simulation::attemptFailed(flow &Flow, attempt_outcome Outcome) {
  attempt_report Report;
  Report.Outcome = Outcome;
  routerOf(Flow).finishAttempt(*Flow.Attempt, Flow.Request.Class, Report, Now);
  Flow.Excluded.insert(Flow.Attempt->Endpoint.Id);
  Flow.Attempt.reset();
  const bool MayRetry =
      ++Flow.Tries < 4 &&
      routerOf(Flow).crashStatusOf(Flow.Request.Fingerprint) !=
          crash_status::Refused &&
      routerOf(Flow).tryTakeRetry(Flow.Request.Account);
  if (MayRetry)
    return sendToEndpoint(Flow);
  leaveStage(Flow);
  refuse(Flow);
}

bench_view simulation::view() const {
  return {&Load, &Engines, &ReportedLoads, &BadVersions};
}

void simulation::placeByBaseline(flow &Flow) {
  Flow.Placed = Baseline->place(Flow.Request, view());
  if (!Flow.Placed)
    return refuse(Flow);
  deliver(Flow, Flow.Placed->Engine, Flow.Placed->Version);
}

} // namespace azurehaven::bench
