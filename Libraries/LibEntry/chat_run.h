#pragma once

#include "LibEntry/chat_request.h"
#include "LibEntry/crash_detector.h"
#include "LibEntry/engine_attempt.h"
#include "LibEntry/entry_services.h"

#include <deque>

namespace azurehaven {

/// The end of a response whose bill is durable.
struct chat_end {
  version_id Version;
  token_count PromptTokens;
  token_count CompletionTokens;
  micro_euros Price;
};

struct chat_text {
  std::string Text;
};

using chat_event = std::variant<chat_text, chat_end, refusal>;

/// Serves one chat request: plans, retries on other endpoints, escalates a
/// cascade, resumes an interrupted response and bills it. Blocks the calling
/// thread. Not thread-safe.
class chat_run {
public:
  chat_run(const entry_services &Services, chat_request Request);
  ~chat_run();
  chat_run(const chat_run &) = delete;
  chat_run &operator=(const chat_run &) = delete;

  /// Runs until the first chunk of the response is available. Returns a refusal
  /// on failure.
  std::optional<refusal> start();
  /// Returns the next chunk, the end once the bill is durable, or a refusal.
  chat_event next();

  const chat_request &request() const { return Request; }
  const version_id &version() const { return Version; }

private:
  /// The complete response of a buffered stage.
  struct stage_response {
    std::string Text;
    engine_finish Finish;
  };
  using first_event = std::variant<engine_event, refusal>;

  /// Registers a request id that the caller chose. Refuses one that is in use
  /// for another body.
  std::optional<refusal> registerRequestId();
  std::optional<refusal> planAndRun();
  std::variant<route_plan, refusal> plan();
  /// Whether the refusal comes from a plan that no longer fits and no part of
  /// the request has been sent, so that another plan may serve it.
  bool mayPlanAgain(unsigned PlanCount) const;
  std::optional<refusal> runPlan(const route_plan &Plan);
  std::optional<refusal> admitToStage(const version_id &Stage);
  void releaseStage();
  /// Runs a cascade stage that may be escalated. Returns nullopt if the next
  /// stage has to run.
  std::optional<stage_response> runBufferedStage(const plan_stage &Stage);
  std::optional<refusal> runStreamedStage();
  first_event openAttemptWithRetries();
  std::variant<engine_event, engine_failure> openAttempt();
  std::optional<refusal> checkStillPermitted() const;
  /// Returns whether the request may be retried. Takes the retry from the retry
  /// budgets, unless the endpoint refused the attempt because it is leaving.
  bool takeRetryIfAllowed(const engine_failure &Failure);
  /// AttemptMayHaveRun: whether the endpoint may have run the attempt.
  void reportAttempt(attempt_outcome Outcome, bool AttemptMayHaveRun,
                     const engine_finish *Finish);
  void recordAttemptFailure(const engine_failure &Failure);
  /// Returns the next event of the running attempt.
  engine_event receive();
  engine_event resume(const engine_failure &Failure);
  chat_event billAndFinish(const engine_finish &Finish);
  void addCost(const engine_finish &Finish);
  void offerForRating(const engine_finish &Finish, const std::string &Text);
  run_state runState() const {
    return MayHaveRun ? run_state::MayHaveRun : run_state::NotRun;
  }
  refusal refusalForFailure(const engine_failure &Failure) const;
  refusal makeRefusal(int Status, const char *Code, std::string Message,
                      std::optional<milliseconds> RetryAfter) const;
  refusal refusalForRouting(const routing_refusal &Refusal) const;
  milliseconds remainingTime() const;
  http_timeouts timeouts() const;
  void addStep(std::string Step) { Record.Steps.push_back(std::move(Step)); }

  const entry_services &Services;
  chat_request Request;
  /// This run's entry in the request id registry; the destructor ends it.
  std::optional<request_body_notice> RegisteredBody;
  decision_record Record;
  version_id Version;
  std::optional<admission_ticket> Ticket;
  version_id TicketVersion;
  steady_time StageStartedAt;
  /// The running attempt, as the router tracks it.
  std::optional<attempt> Attempt;
  /// The response stream of the running attempt.
  std::unique_ptr<engine_attempt> EngineAttempt;
  crash_detector Crashes;
  steady_time AttemptStartedAt;
  /// Time from the start of the attempt to its first chunk.
  std::optional<milliseconds> AttemptFirstToken;
  std::set<endpoint_id> ExcludedEndpoints;
  /// The planned version had no endpoint left when the request was admitted.
  bool IsPlanOutdated = false;
  unsigned AttemptCount = 0;
  answer_role Role = answer_role::Direct;
  /// The minimum confidence that the previous stage of the cascade missed.
  double RequiredConfidence = 0;
  /// An escalated response is rated under the confidence that was required of
  /// the previous stage, a direct one under its own.
  double confidenceForRating(const engine_finish &Finish) const {
    return Role == answer_role::Direct ? Finish.Confidence : RequiredConfidence;
  }
  /// Whether an endpoint may have run a part of the request.
  bool MayHaveRun = false;
  /// Received events of the response that next() has not returned yet.
  std::deque<engine_event> PendingEvents;
  std::string SentText;
  micro_euros Cost;
};

} // namespace azurehaven
