#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibDispatch/event_splicer.h"
#include "LibDispatch/placement.h"
#include "LibRelay/admitted_request.h"
#include "LibRelay/attempt_budget.h"
#include "LibRelay/attempt_targets.h"
#include "LibRelay/caller_response.h"
#include "LibRelay/model_selection.h"
#include "LibRelay/placement_wait.h"
#include "LibRelay/relay.h"
#include "LibRelay/relayed_attempt.h"
#include "LibRelay/request_log.h"

#include <asio/steady_timer.hpp>

namespace azurehaven {

/// Relays one request: selects endpoints, retries failed attempts and forwards
/// the response. Ends with exactly one response, or when the caller
/// disconnects.
class relayed_request : public caller_observer,
                        public active_request,
                        public attempt_owner,
                        public std::enable_shared_from_this<relayed_request> {
public:
  static void start(relay_context &Context, incoming_request Incoming,
                    dispatch_request Request, const route &Route,
                    const caller_account &Account,
                    const request_fingerprint &Fingerprint,
                    std::shared_ptr<caller_connection> Caller);
  ~relayed_request() override;

  void endForShutdown() override;
  void recordIfSlow(steady_time Now) override;
  void refreshSessionPin(steady_time Now) override;
  void onCallerDisconnected() override;
  void onSendBufferDrained() override;

  head_verdict
  onAttemptResponseHead(relayed_attempt &Attempt, const response_head &Head,
                        const decoded_response_head &Response) override;
  void onAttemptResponseBody(relayed_attempt &Attempt,
                             std::string Bytes) override;
  void onAttemptResponseEnd(relayed_attempt &Attempt) override;
  void onAttemptFailed(relayed_attempt &Attempt, attempt_failure Failure,
                       const std::string &Reason) override;
  void onAttemptSilent(relayed_attempt &Attempt,
                       const std::string &Reason) override;

private:
  relayed_request(relay_context &Context, incoming_request Incoming,
                  dispatch_request NewRequest, const route &NewRoute,
                  const caller_account &Account,
                  const request_fingerprint &Fingerprint,
                  std::shared_ptr<caller_connection> Caller);

  void begin();
  void startNextAttempt();
  /// Waits or refuses, as no endpoint takes the request now.
  void handleMissingEndpoint(steady_time Now);
  /// Keys and routes may be used only as a current configuration says.
  bool isConfigurationCurrent(steady_time Now) const;
  /// Slot: what the new attempt is to be, Current or Hedge.
  void startAttemptAt(const attempt_place &Place,
                      std::shared_ptr<relayed_attempt> &Slot);
  std::string headForPeer(const endpoint_record &Peer, int Runs,
                          steady_time Now);
  std::string headForEndpoint(const attempt_place &Place, steady_time Now);
  outgoing_request outgoing(std::string EncodedHead) const;
  /// Runs of the attempts that have not ended, which Budget does not count.
  int liveRuns() const;
  /// Sends the request to a second endpoint, if there are one and a retry
  /// budget for it; Reason: why Current is silent.
  void hedge(const std::string &Reason, steady_time Now);
  void startHedge(const attempt_place &Place);
  /// Ends the silent attempt, as the hedge's response has begun.
  void takeOver();
  /// Ends the hedge, if there is one, as the silent attempt has gone on.
  void dropHedge();
  /// Tries another hedge after one that has failed, or awaits Current.
  void replaceHedge(attempt_failure Failure, const std::string &Reason);
  void resumeAtNextSource();
  void cancelAttempts();
  void logFailure(const relayed_attempt &Attempt, attempt_failure Failure,
                  const std::string &Reason, retry_decision Decision);
  void onDeadline();
  void forwardStreamBytes(relayed_attempt &Attempt, std::string Bytes);
  /// Why the stream that has ended is not complete; null if it is.
  const char *streamBreakReason(const relayed_attempt &Attempt) const;
  void handleErrorStatus(relayed_attempt &Attempt);
  /// Forwards the endpoint's error response. Sends a 502 instead if that would
  /// tell the caller that the request was not executed, or if it is unsigned.
  void forwardErrorResponse(relayed_attempt &Attempt);
  void retryOrRefuse(relayed_attempt &Attempt, attempt_failure Failure,
                     const std::string &Reason);
  void refuse(const error_response &Refusal);
  void abortResponse(const char *Reason);
  void recordBill();
  std::optional<milliseconds> timeToFirstEvent() const;
  void finish(const char *Outcome);
  bool mayRetryAfter(attempt_failure Failure, steady_time Now) const;
  /// Whether a request on a silent endpoint may be retried at another one, and
  /// whether there are an endpoint and a retry budget for that now.
  bool mayRetryElsewhere(steady_time Now) const;
  bool canRetryElsewhereNow(steady_time Now) const;
  /// Where a hedge would go now; without an endpoint if it may not be sent.
  attempt_place placeOfHedge(steady_time Now) const;
  retry_decision decideRetry(attempt_failure Failure, steady_time Now);
  /// Larger: the model to ask instead; nullopt if the answer is good enough.
  escalation_outcome decideEscalation(const relayed_attempt &Attempt,
                                      std::optional<std::size_t> Larger,
                                      steady_time Now);
  bool tryEscalate(relayed_attempt &Attempt,
                   const decoded_response_head &NewResponse);

  relay_context &Context;
  const request_head Head;
  const std::shared_ptr<const std::string> Body;
  const memory_reservation BodyMemory;
  const admitted_request Admitted;
  /// Both refer to members of Admitted.
  const dispatch_request &Request;
  const route &Route;
  caller_response ToCaller;
  attempt_budget Budget;
  asio::steady_timer Deadline;
  placement_wait PlacementWait;

  attempt_targets Targets;

  /// The attempt whose response the caller gets, or the latest one; null before
  /// the first one.
  std::shared_ptr<relayed_attempt> Current;
  /// A second attempt while Current makes no progress; null otherwise.
  std::shared_ptr<relayed_attempt> Hedge;
  /// Why Current is, or was last, taken for silent.
  std::string SilenceReason;
  model_selection Model;
  /// Why the latest attempt is made; a stable identifier for logs.
  const char *SendReason = "first";
  event_splicer Splicer;
  bool IsFinished = false;
  const request_log Logged;
  /// Total model cost of all attempts.
  micro_euros Cost{0};
};

} // namespace azurehaven
