#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibDispatch/endpoint_registry.h"
#include "LibDispatch/fleet_retry_budget.h"
#include "LibLog/event_log.h"
#include "LibRelay/admitted_request.h"
#include "LibRelay/request_placement.h"

namespace azurehaven {

/// Whether another attempt follows one that failed.
enum class retry_decision {
  Granted,
  /// Granted without the budget: the attempt that failed reached no endpoint.
  NotCounted,
  /// By the route, the number of attempts or the time left.
  NotAllowed,
  BudgetExhausted,
  /// No other endpoint takes the request; an earlier attempt goes on.
  NoEndpoint,
  /// Another attempt was under way already.
  Hedged,
};

constexpr bool isGranted(retry_decision Decision) {
  return Decision == retry_decision::Granted ||
         Decision == retry_decision::NotCounted;
}

/// What becomes of an answer of which the model that made it is not sure.
enum class escalation_outcome {
  Accepted,
  Escalated,
  /// The answer is accepted only because a request for a larger model could not
  /// be sent now.
  NoEndpoint,
  /// The answer is accepted only because the retry budget is exhausted.
  BudgetExhausted,
};

/// An attempt that failed, and what was decided on the next one.
struct failed_attempt {
  endpoint_id Endpoint;
  attempt_failure Failure = attempt_failure::NotSent;
  std::string Reason;
  int SendCount = 0;
  retry_decision Retry = retry_decision::NotAllowed;
  retry_budget_state Budget;
  /// Number of members that this VM knows.
  std::size_t Members = 0;
};

/// The log lines of one request; each has the request's id.
class request_log {
public:
  request_log(const event_log &Log, const admitted_request &Admitted)
      : Log(Log), Admitted(Admitted) {}

  void onSent(const endpoint_record &Endpoint, const model_id &Model,
              int SendCount, const char *Reason, milliseconds TimeLeft) const;
  /// Written while a roll-out is undecided, and when a session moves.
  void onReleaseChosen(const request_placement &Placement, int SendCount,
                       steady_time Now) const;
  void onForwarded(const endpoint_id &Vm, int SendCount, const char *Reason,
                   milliseconds TimeLeft) const;
  void onJudged(const model_id &Model, int Confidence, milliseconds Backlog,
                escalation_outcome Outcome) const;
  void onAttemptFailed(const failed_attempt &Failed) const;
  /// A second attempt follows while the one at Silent goes on.
  void onHedged(const endpoint_id &Silent, const std::string &Reason) const;
  /// One of two attempts was dropped; Reason is a stable identifier.
  void onHedgeDecided(const endpoint_id &Kept, const endpoint_id &Dropped,
                      const char *Reason) const;
  /// Endpoint: of the last attempt, null if there was none.
  void onFinished(const char *Outcome, bool IsAnswered,
                  const endpoint_record *Endpoint, const model_id &Model,
                  int SendCount, std::optional<milliseconds> TimeToFirstEvent,
                  milliseconds Took) const;

private:
  const event_log &Log;
  const admitted_request &Admitted;
};

} // namespace azurehaven
