#pragma once

#include "LibConnection/connection_pool.h"
#include "LibDispatch/attempt_policy.h"
#include "LibRelay/relay.h"

namespace azurehaven {

/// Receives the course of one attempt; nothing follows after
/// onAttemptResponseEnd or onAttemptFailed.
class attempt_observer {
public:
  virtual ~attempt_observer() = default;
  virtual head_verdict
  onAttemptResponseHead(const response_head &Head,
                        const decoded_response_head &Answer) = 0;
  virtual void onAttemptResponseBody(std::string Bytes) = 0;
  virtual void onAttemptResponseEnd() = 0;
  virtual void onAttemptFailed(attempt_failure Failure,
                               const std::string &Reason) = 0;
};

/// One send of a request to one endpoint.
class endpoint_attempt : public exchange_observer,
                         public std::enable_shared_from_this<endpoint_attempt> {
public:
  /// PromptWork: what the prompt costs the endpoint until its first event.
  endpoint_attempt(relay_context &Context,
                   std::shared_ptr<endpoint_record> Endpoint, request_id Id,
                   double PromptWork, std::weak_ptr<attempt_observer> Owner);
  ~endpoint_attempt() override;

  void start(outgoing_request Request, connection_trust Trust);
  /// Ends the attempt; the endpoint sees its connection close.
  void cancel();
  void pauseReading() { Connection->pauseReading(); }
  void resumeReading() { Connection->resumeReading(); }

  head_verdict onResponseHead(const response_head &Head) override;
  void onResponseBody(std::string Bytes) override;
  void onResponseEnd() override;
  void onExchangeFailed(const http_failure &Failure) override;

private:
  void countOff();
  void countPromptOff();

  relay_context &Context;
  const std::shared_ptr<endpoint_record> Endpoint;
  const request_id Id;
  const std::weak_ptr<attempt_observer> Owner;
  std::shared_ptr<endpoint_connection> Connection;
  milliseconds IdleLimit{4000};
  double PromptWork;
  bool Counted = true;
};

} // namespace azurehaven
