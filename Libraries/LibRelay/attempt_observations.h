#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibRelay/attempt_recorder.h"
#include "LibRelay/crash_recorder.h"

#include <memory>
#include <optional>

namespace azurehaven {

/// What this VM learns from the attempts of one request, one after the other:
/// the health of endpoints, the outcomes of releases, crashes, prompt times and
/// session pins. An attempt at another VM tells of that VM only.
class attempt_observations {
public:
  attempt_observations(fleet_state &Fleet, const event_log &Log,
                       const admitted_request &Admitted)
      : Fleet(Fleet), Admitted(Admitted), Recorder(Fleet, Log, Admitted),
        Crashes(Fleet, Log, Admitted) {}

  /// Start the next attempt. KnownEvents: events that earlier attempts have
  /// delivered. PromptWorkAhead: prompt work that is pending on the endpoint,
  /// that of this attempt included.
  void onSent(std::shared_ptr<endpoint_record> NewEndpoint,
              const model_id &Model, std::optional<std::size_t> NewModelIndex,
              std::uint64_t KnownEvents, double NewPromptWorkAhead,
              steady_time Now);
  /// The request is sent on a connection that was created then.
  void onConnectionChosen(steady_time CreatedAt) {
    Crashes.onConnectionChosen(CreatedAt);
  }
  void onForwarded(std::shared_ptr<endpoint_record> Peer,
                   std::uint64_t KnownEvents, steady_time Now);

  /// The head of a response that may be passed on.
  void onHead(bool IsSuccess, steady_time Now);
  void onEvents(std::uint64_t EventCount, steady_time Now);
  /// The response is sound, but is dropped for that of a larger model.
  void onDropped(steady_time Now);
  void onComplete(steady_time Now);
  void onErrorResponse(bool IsSigned, steady_time Now);
  /// Another endpoint responds at the endpoint's address.
  void onMisdirected(steady_time Now);
  void onFailed(attempt_failure Failure, steady_time Now);
  /// This VM does not await the rest of the response any more. WasSent: whether
  /// the request may have reached the endpoint.
  void onCancelled(bool WasSent, steady_time Now);
  /// The deadline has passed before the response began.
  void onDeadline(steady_time Now) { Recorder.record(/*HasFailed=*/true, Now); }
  void recordIfSlow(steady_time Now) { Recorder.recordIfSlow(Now); }
  /// The attempt runs on, so that its session does.
  void refreshSessionPin(steady_time Now);

  /// Whether the current attempt is at another VM.
  bool isForwarded() const { return IsForwarded; }
  /// Whether the request must not be sent again: endpoints crash under it.
  bool isQuarantined() const { return Crashes.isQuarantined(); }
  /// Events that the current attempt has delivered.
  std::uint64_t attemptEvents() const { return Crashes.attemptEvents(); }

private:
  /// Each is a failure by itself; a crash fails all requests on its endpoint.
  void recordMalformedResponse(steady_time Now);
  void recordMissingResponse(attempt_failure Failure, steady_time Now);
  /// Records that this VM has ended the attempt, not the endpoint.
  void recordAbandoned(steady_time Now);
  /// Since when the endpoint would have sent more of the response, or answered
  /// an inspection, if it were alive; nullopt if it may be.
  std::optional<steady_time> silentSince(steady_time Now) const;

  fleet_state &Fleet;
  const admitted_request &Admitted;
  attempt_recorder Recorder;
  crash_recorder Crashes;
  std::shared_ptr<endpoint_record> Endpoint;
  std::optional<std::size_t> ModelIndex;
  double PromptWorkAhead = 0;
  bool IsForwarded = false;
};

} // namespace azurehaven
