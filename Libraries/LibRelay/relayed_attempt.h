#pragma once

#include "LibRelay/admitted_request.h"
#include "LibRelay/attempt_observations.h"
#include "LibRelay/attempt_owner.h"
#include "LibRelay/buffered_body.h"
#include "LibRelay/endpoint_attempt.h"
#include "LibRelay/liveness_monitor.h"

namespace azurehaven {

/// The model that an attempt asks for.
struct attempt_model {
  /// Index in the route's models; set if the system chooses the model.
  std::optional<std::size_t> Index;
  model_id Id;
};

/// One attempt of a relayed request, at an endpoint or another VM: the exchange
/// and its response, what this VM learns from it, and whether it gets on.
class relayed_attempt : public attempt_observer,
                        public std::enable_shared_from_this<relayed_attempt> {
public:
  /// Runs: how often the endpoint, or those behind the VM, may run the request.
  /// Admitted has to outlive the attempt's use.
  relayed_attempt(relay_context &Context, const admitted_request &Admitted,
                  attempt_target Target,
                  std::shared_ptr<endpoint_record> Endpoint,
                  attempt_model Model, int Runs,
                  std::weak_ptr<attempt_owner> Owner);

  /// Sends the request. KnownEvents: events that earlier attempts have
  /// delivered.
  void start(outgoing_request Outgoing, std::uint64_t KnownEvents);
  /// Ends the attempt and closes its connection; no call to the owner follows.
  void cancel();
  /// Tells the owner once the attempt makes no progress from now on; does
  /// nothing for an attempt that must not be repeated, or at another VM.
  void startMonitor();
  void stopMonitor();
  /// The response has got closer to its end.
  void onProgress(steady_time Now);
  void pauseReading() { Exchange->pauseReading(); }
  void resumeReading() { Exchange->resumeReading(); }

  const endpoint_record &endpoint() const { return *Endpoint; }
  const attempt_model &model() const { return Model; }
  int runs() const { return Runs; }
  /// Whether the attempt has neither ended nor been cancelled.
  bool isRunning() const { return IsRunning; }
  bool isForwarded() const { return Target == attempt_target::Vm; }
  /// How an attempt that makes no progress has failed.
  attempt_failure failureOfSilent() const;
  attempt_observations &observed() { return Observed; }
  const attempt_observations &observed() const { return Observed; }

  /// Keeps the head of the response that is now received.
  void acceptHead(const response_head &Head,
                  const decoded_response_head &Response);
  const response_head &responseHead() const { return ResponseHead; }
  const decoded_response_head &response() const { return Response; }
  buffered_body &responseBody() { return ResponseBody; }
  /// Accounts for the part of an event that is buffered. Returns false if there
  /// is no memory for it.
  bool tryBufferEvent(std::size_t Bytes) {
    return PartialEvent.tryResize(Bytes);
  }

  head_verdict
  onAttemptResponseHead(const response_head &Head,
                        const decoded_response_head &Response) override;
  void onAttemptResponseBody(std::string Bytes) override;
  void onAttemptResponseEnd() override;
  void onAttemptFailed(attempt_failure Failure,
                       const std::string &Reason) override;

private:
  relay_context &Context;
  const admitted_request &Admitted;
  const attempt_target Target;
  const std::shared_ptr<endpoint_record> Endpoint;
  const attempt_model Model;
  const int Runs;
  const std::weak_ptr<attempt_owner> Owner;
  std::shared_ptr<endpoint_attempt> Exchange;
  std::shared_ptr<liveness_monitor> Monitor;
  bool IsRunning = false;
  response_head ResponseHead;
  decoded_response_head Response;
  const std::shared_ptr<memory_budget> Memory;
  buffered_body ResponseBody;
  memory_reservation PartialEvent;
  attempt_observations Observed;
};

} // namespace azurehaven
