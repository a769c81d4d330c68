#pragma once

#include "LibConnection/connection_pool.h"
#include "LibDispatch/attempt_policy.h"
#include "LibRelay/relay.h"

namespace azurehaven {

/// Receives the callbacks of one attempt; onAttemptResponseEnd or
/// onAttemptFailed is the last one.
class attempt_observer {
public:
  virtual ~attempt_observer() = default;
  virtual head_verdict
  onAttemptResponseHead(const response_head &Head,
                        const decoded_response_head &Response) = 0;
  virtual void onAttemptResponseBody(std::string Bytes) = 0;
  virtual void onAttemptResponseEnd() = 0;
  virtual void onAttemptFailed(attempt_failure Failure,
                               const std::string &Reason) = 0;
};

/// What a request is sent to.
enum class attempt_target {
  Endpoint,
  /// Another VM, which serves the request on behalf of this one.
  Vm,
};

/// Sends a request to one endpoint once and reports the response. The request
/// counts towards the endpoint's load until the attempt ends.
class endpoint_attempt : public exchange_observer,
                         public std::enable_shared_from_this<endpoint_attempt> {
public:
  /// PromptWork: work that the prompt causes on the endpoint before its first
  /// event, in tokens of the smallest model.
  endpoint_attempt(relay_context &Context, attempt_target Target,
                   std::shared_ptr<endpoint_record> Endpoint, request_id Id,
                   double PromptWork, std::weak_ptr<attempt_observer> Observer);
  ~endpoint_attempt() override;

  void start(outgoing_request Request, connection_reuse Trust);
  /// Ends the attempt and closes its connection to the endpoint, unless the
  /// response has been complete.
  /// When the connection that carries the request was created.
  steady_time connectionCreatedAt() const { return Connection->createdAt(); }
  void cancel();
  void pauseReading();
  void resumeReading();
  /// Whether something of the request may have reached the endpoint.
  bool mayHaveArrived() const {
    return !Connection || !Connection->isConnecting();
  }

  head_verdict onResponseHead(const response_head &Head) override;
  void onResponseBody(std::string Bytes) override;
  void onResponseEnd() override;
  void onRequestSent() override;
  void onExchangeFailed(const http_failure &Failure) override;

private:
  /// Applies what the endpoint says about itself, whichever request it
  /// responds to.
  void applyEndpointState(const decoded_response_head &Response,
                          steady_time Now);
  void applyRateLimit(const decoded_response_head &Response, steady_time Now);
  void applyBrittleness(const decoded_response_head &Response, steady_time Now);
  /// Called once the endpoint can no longer reject the request.
  void removeFromUnanswered();
  /// In [0, 1), different for each VM and endpoint.
  double spreadFraction() const;
  void removeFromLoad();
  void removePromptWork();

  bool isToEndpoint() const { return Target == attempt_target::Endpoint; }

  relay_context &Context;
  const attempt_target Target;
  const std::shared_ptr<endpoint_record> Endpoint;
  const request_id Id;
  const std::weak_ptr<attempt_observer> Observer;
  /// Null once the response has been complete.
  std::shared_ptr<endpoint_connection> Connection;
  milliseconds IdleLimit{4000};
  double PromptWork;
  steady_time SentAt;
  bool IsUnanswered = false;
  /// Whether the response names this request.
  bool IsResponseIdentified = false;
  /// Whether another endpoint responds at the endpoint's address.
  bool IsMisdirected = false;
  /// Whether the connection is new rather than one from the pool.
  bool IsConnecting = false;
  bool IsCounted = true;
};

} // namespace azurehaven
