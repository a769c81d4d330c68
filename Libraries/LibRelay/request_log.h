#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibDispatch/endpoint_registry.h"
#include "LibLog/event_log.h"
#include "LibRelay/admitted_request.h"
#include "LibRelay/request_placement.h"

namespace azurehaven {

/// The log lines of one request; each has the request's id.
class request_log {
public:
  request_log(const event_log &Log, const admitted_request &Admitted)
      : Log(Log), Admitted(Admitted) {}

  void onSent(const endpoint_record &Endpoint, const model_id &Model,
              int SendCount, milliseconds TimeLeft) const;
  /// Written while a roll-out is undecided, and when a session moves.
  void onReleaseChosen(const request_placement &Placement, int SendCount,
                       steady_time Now) const;
  void onForwarded(const endpoint_id &Vm, int SendCount,
                   milliseconds TimeLeft) const;
  void onJudged(const model_id &Model, int Confidence, milliseconds Backlog,
                bool IsEscalated) const;
  void onAttemptFailed(const endpoint_id &Endpoint, attempt_failure Failure,
                       const std::string &Reason, int SendCount) const;
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
