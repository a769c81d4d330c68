#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibDispatch/event_splicer.h"
#include "LibDispatch/placement.h"
#include "LibRelay/admitted_request.h"
#include "LibRelay/attempt_budget.h"
#include "LibRelay/attempt_observations.h"
#include "LibRelay/buffered_body.h"
#include "LibRelay/endpoint_attempt.h"
#include "LibRelay/liveness_monitor.h"
#include "LibRelay/placement_wait.h"
#include "LibRelay/relay.h"
#include "LibRelay/request_log.h"

#include <asio/steady_timer.hpp>

namespace azurehaven {

/// Relays one request: selects endpoints, retries failed attempts and forwards
/// the response. Ends with exactly one response, or when the caller
/// disconnects.
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
  void recordIfSlow(steady_time Now) override;
  void refreshSessionPin(steady_time Now) override;
  void onCallerDisconnected() override;
  void onSendBufferDrained() override;

  head_verdict
  onAttemptResponseHead(const response_head &Head,
                        const decoded_response_head &Response) override;
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
  void startNextAttempt();
  /// Waits or refuses, as no endpoint takes the request now.
  void handleMissingEndpoint(steady_time Now);
  /// The VM that serves the request on behalf of this one, which has lost its
  /// path to the service; null if there is none or need not be one.
  std::shared_ptr<endpoint_record> selectForwardingPeer(steady_time Now);
  void forwardTo(const std::shared_ptr<endpoint_record> &Peer);
  attempt_failure failureOfUnresponsive() const;
  void startAttemptOn(const std::shared_ptr<endpoint_record> &Endpoint);
  void onDeadline();
  void forwardStreamBytes(std::string Bytes);
  /// Why the stream that has ended is not complete; null if it is.
  const char *streamBreakReason() const;
  void finishStream();
  void handleErrorStatus();
  /// Forwards the endpoint's error response. Sends a 502 instead if that would
  /// tell the caller that the request was not executed, or if it is unsigned.
  void forwardErrorResponse();
  void retryOrRefuse(attempt_failure Failure, const std::string &Reason);
  void refuse(const error_response &Refusal);
  void abortResponse(const char *Reason);
  void recordBill();
  void finish(const char *Outcome);
  bool mayRetryAfter(attempt_failure Failure, steady_time Now) const;
  /// Whether a request on a silent endpoint may be retried at another one, and
  /// whether there are an endpoint and a retry budget for that now.
  bool mayRetryElsewhere(steady_time Now) const;
  bool canRetryElsewhereNow(steady_time Now) const;
  void startLivenessMonitor();
  retry_decision decideRetry(attempt_failure Failure, steady_time Now);
  bool tryEscalate(const decoded_response_head &NewResponse);

  relay_context &Context;
  const request_head Head;
  const std::shared_ptr<const std::string> Body;
  const admitted_request Admitted;
  /// Both refer to members of Admitted.
  const dispatch_request &Request;
  const route &Route;
  std::shared_ptr<caller_connection> Caller;
  attempt_budget Budget;
  asio::steady_timer Deadline;
  std::shared_ptr<liveness_monitor> Liveness;
  placement_wait PlacementWait;

  std::shared_ptr<endpoint_attempt> Attempt;
  std::shared_ptr<endpoint_record> Endpoint;
  /// Index of the current attempt's model in the route's models; set if the
  /// system chooses the model.
  std::optional<std::size_t> ModelIndex;
  model_id Model;
  std::set<endpoint_id> Tried;
  /// VMs that the request was forwarded to.
  std::set<endpoint_id> TriedPeers;
  /// Why the current attempt is made; a stable identifier for logs.
  const char *SendReason = "first";
  /// Runs that the peer of the current attempt may make.
  int PeerRuns = 0;
  event_splicer Splicer;
  /// Whether a stream's response to the caller has begun.
  bool ResponseStarted = false;
  bool IsFinished = false;
  /// The endpoint's response that is being received.
  response_head ResponseHead;
  decoded_response_head Response;
  buffered_body ResponseBody;
  attempt_observations Observed;
  const request_log Logged;
  /// Total model cost of all attempts.
  micro_euros Cost{0};
  std::optional<milliseconds> TimeToFirstEvent;
};

} // namespace azurehaven
