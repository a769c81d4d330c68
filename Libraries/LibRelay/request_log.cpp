#include "LibRelay/request_log.h"

namespace azurehaven {

namespace {

const char *nameOf(retry_decision Decision) {
  switch (Decision) {
  case retry_decision::Granted:
    return "granted";
  case retry_decision::NotCounted:
    return "not_counted";
  case retry_decision::NotAllowed:
    return "not_allowed";
  case retry_decision::BudgetExhausted:
    return "budget_exhausted";
  case retry_decision::NoEndpoint:
    return "no_endpoint";
  case retry_decision::Hedged:
    return "hedged";
  }
  return "unknown";
}

const char *nameOf(escalation_outcome Outcome) {
  switch (Outcome) {
  case escalation_outcome::Accepted:
    return "accepted";
  case escalation_outcome::Escalated:
    return "escalated";
  case escalation_outcome::NoEndpoint:
    return "no_endpoint";
  case escalation_outcome::BudgetExhausted:
    return "budget_exhausted";
  }
  return "unknown";
}

} // namespace

void request_log::onSent(const endpoint_record &Endpoint, const model_id &Model,
                         int SendCount, const char *Reason,
                         milliseconds TimeLeft) const {
  Log.write(log_level::Info, "request_sent",
            {{"request", Admitted.Request.Id.text()},
             {"route", Admitted.Route->Name},
             {"endpoint", Endpoint.Descriptor.Id.text()},
             {"release", Endpoint.Descriptor.Release},
             {"model", Model.text()},
             {"send", std::to_string(SendCount)},
             {"reason", Reason},
             {"in_flight", std::to_string(Endpoint.InFlight)},
             {"time_left_ms", std::to_string(TimeLeft.count())}});
}

void request_log::onReleaseChosen(const request_placement &Placement,
                                  int SendCount, steady_time Now) const {
  const auto &Pin = Placement.Pin;
  const std::string &Release = Placement.Endpoint->Descriptor.Release;
  const rollout_phase Phase = Placement.Rule.Phase;
  const bool IsUndecided = Phase == rollout_phase::Trial ||
                           Phase == rollout_phase::Shift ||
                           Phase == rollout_phase::Rejected;
  const bool HasMoved = Pin && Pin->Release != Release;
  if (!IsUndecided && !HasMoved)
    return;
  const bool IsFallback =
      (Release == Placement.Rule.Target) !=
          (Placement.Decision.Choice == release_choice::Target) &&
      Placement.Decision.Choice != release_choice::Any;
  Log.write(
      log_level::Info, "release_chosen",
      {{"request", Admitted.Request.Id.text()},
       {"session", std::to_string(Admitted.Session)},
       {"send", std::to_string(SendCount)},
       {"release", Release},
       {"reason", IsFallback ? "unusable" : nameOf(Placement.Decision.Reason)},
       {"phase", nameOf(Phase)},
       {"trial_share", std::to_string(Placement.Rule.TrialShare)},
       {"shifted_share", std::to_string(Placement.Rule.ShiftedShare)},
       {"session_sample", std::to_string(Placement.Samples.Session)},
       {"prompt_sample", std::to_string(Placement.Samples.Prompt)},
       {"pin", Pin ? Pin->Release : "none"},
       {"pin_source", Pin ? nameOf(Pin->Source) : "none"},
       {"pin_age_ms",
        Pin ? std::to_string(
                  std::chrono::duration_cast<milliseconds>(Now - Pin->SeenAt)
                      .count())
            : "none"}});
}

void request_log::onForwarded(const endpoint_id &Vm, int SendCount,
                              const char *Reason, milliseconds TimeLeft) const {
  Log.write(log_level::Info, "request_forwarded",
            {{"request", Admitted.Request.Id.text()},
             {"route", Admitted.Route->Name},
             {"service", Admitted.Service.text()},
             {"to", Vm.text()},
             {"send", std::to_string(SendCount)},
             {"reason", Reason},
             {"time_left_ms", std::to_string(TimeLeft.count())}});
}

void request_log::onJudged(const model_id &Model, int Confidence,
                           milliseconds Backlog,
                           escalation_outcome Outcome) const {
  Log.write(log_level::Info, "answer_judged",
            {{"request", Admitted.Request.Id.text()},
             {"route", Admitted.Route->Name},
             {"model", Model.text()},
             {"confidence", std::to_string(Confidence)},
             {"backlog_ms", std::to_string(Backlog.count())},
             {"outcome", nameOf(Outcome)}});
}

void request_log::onAttemptFailed(const failed_attempt &Failed) const {
  Log.write(log_level::Warning, "attempt_failed",
            {{"request", Admitted.Request.Id.text()},
             {"endpoint", Failed.Endpoint.text()},
             {"reason", Failed.Reason},
             {"failure", azurehaven::nameOf(Failed.Failure)},
             {"may_have_run", mayHaveRun(Failed.Failure) ? "yes" : "no"},
             {"sends", std::to_string(Failed.SendCount)},
             {"retry", nameOf(Failed.Retry)},
             {"window_requests", std::to_string(Failed.Budget.Requests)},
             {"window_retries", std::to_string(Failed.Budget.Retries)},
             {"credit", std::to_string(Failed.Budget.Credit)},
             {"members", std::to_string(Failed.Members)}});
}

void request_log::onHedged(const endpoint_id &Silent,
                           const std::string &Reason) const {
  Log.write(log_level::Info, "request_hedged",
            {{"request", Admitted.Request.Id.text()},
             {"silent", Silent.text()},
             {"reason", Reason}});
}

void request_log::onHedgeDecided(const endpoint_id &Kept,
                                 const endpoint_id &Dropped,
                                 const char *Reason) const {
  Log.write(log_level::Info, "hedge_decided",
            {{"request", Admitted.Request.Id.text()},
             {"kept", Kept.text()},
             {"dropped", Dropped.text()},
             {"reason", Reason}});
}

void request_log::onFinished(const char *Outcome, bool IsAnswered,
                             const endpoint_record *Endpoint,
                             const model_id &Model, int SendCount,
                             std::optional<milliseconds> TimeToFirstEvent,
                             milliseconds Took) const {
  Log.write(
      IsAnswered ? log_level::Info : log_level::Warning, "request_finished",
      {{"request", Admitted.Request.Id.text()},
       {"route", Admitted.Route->Name},
       {"account", Admitted.Account.Account.text()},
       {"outcome", Outcome},
       {"endpoint", Endpoint ? Endpoint->Descriptor.Id.text() : "none"},
       {"model", Model.text()},
       {"config_version", std::to_string(Admitted.Routes->version())},
       {"sends", std::to_string(SendCount)},
       {"first_event_ms",
        TimeToFirstEvent ? std::to_string(TimeToFirstEvent->count()) : "none"},
       {"took_ms", std::to_string(Took.count())}});
}

} // namespace azurehaven
