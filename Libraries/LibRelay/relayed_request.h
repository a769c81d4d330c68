#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibDispatch/event_splicer.h"
#include "LibDispatch/placement.h"
#include "LibRelay/admitted_request.h"
#include "LibRelay/attempt_result.h"
#include "LibRelay/endpoint_attempt.h"
#include "LibRelay/liveness_monitor.h"
#include "LibRelay/relay.h"
#include "LibRelay/response_timing.h"

#include <asio/steady_timer.hpp>

namespace azurehaven {

/// One request on its way from the caller through its attempts to the answer.
/// Ends with exactly one answer, or with the caller's leaving.
class relayed_request : public caller_observer,
                        public active_request,
                        public attempt_observer,
                        public std::enable_shared_from_this<relayed_request> {
public:
  static void start(relay_context &Context, incoming_request Incoming,
                    dispatch_request Request, const route &Route,
                    const caller_account &Account, std::uint64_t Fingerprint,
                    std::shared_ptr<caller_connection> Caller);
  ~relayed_request() override;

  void endForShutdown() override;
  void onCallerGone() override;
  void onCallerDrained() override;

  head_verdict
  onAttemptResponseHead(const response_head &Head,
                        const decoded_response_head &Answer) override;
  void onAttemptResponseBody(std::string Bytes) override;
  void onAttemptResponseEnd() override;
  void onAttemptFailed(attempt_failure Failure,
                       const std::string &Reason) override;

private:
  relayed_request(relay_context &Context, incoming_request Incoming,
                  dispatch_request NewRequest, const route &NewRoute,
                  const caller_account &Account, std::uint64_t Fingerprint,
                  std::shared_ptr<caller_connection> Caller);

  void begin();
  void sendNext();
  void sendTo(const std::shared_ptr<endpoint_record> &Endpoint);
  void onDeadline();
  void passOnStream(std::string Bytes);
  void passOnWhole();
  void passOnFailure();
  /// Gives the caller the endpoint's own failure, unless that would promise
  /// that the request has not run.
  void passOnOwnFailure();
  void retryOrRefuse(attempt_failure Failure, const std::string &Reason);
  void refuse(const error_response &Refusal);
  void breakOff(const char *Reason);
  void bill();
  void finish(const char *Outcome);
  bool maySendAgainAfter(attempt_failure Failure, steady_time Now) const;
  milliseconds timeLeft(steady_time Now) const;
  void watchLiveness();
  void record(bool Failed);
  bool escalates(const decoded_response_head &NewAnswer);

  relay_context &Context;
  const request_head Head;
  const std::shared_ptr<const std::string> Body;
  const admitted_request Subject;
  /// Both are parts of the subject.
  const dispatch_request &Request;
  const route &Route;
  std::shared_ptr<caller_connection> Caller;
  const steady_time ArrivedAt;
  const milliseconds TimeLimit;
  asio::steady_timer Deadline;
  std::shared_ptr<liveness_monitor> Liveness;

  std::shared_ptr<endpoint_attempt> Attempt;
  std::shared_ptr<endpoint_record> Endpoint;
  /// The model of the present attempt, where the system chooses: its place
  /// among the route's models.
  std::optional<std::size_t> ModelIndex;
  model_id Model;
  std::set<endpoint_id> Tried;
  /// Sends so far, and those of them that may have run.
  int Sends = 0;
  int Runs = 0;
  event_splicer Splicer;
  bool AnswerStarted = false;
  bool Over = false;
  /// The answer that is being received.
  response_head AnswerHead;
  decoded_response_head Answer;
  std::string AnswerBody;
  response_timing Timing;
  /// What all attempts used of the models.
  micro_euros Cost{0};
  /// Prompt work on the endpoint when this request was sent, its own included.
  double WorkAhead = 0;
  std::optional<milliseconds> FirstEventAfter;
};

} // namespace azurehaven
