#pragma once

#include "LibLog/event_log.h"
#include "LibRelay/admitted_request.h"
#include "LibRelay/fleet_state.h"

namespace azurehaven {

/// Follows the attempts of one request, one after the other, and tells the
/// quarantines which of them an endpoint crashed under and which responses got
/// on. An attempt whose response is not seen to be complete is recorded once,
/// however it ends.
class crash_recorder {
public:
  crash_recorder(fleet_state &Fleet, const event_log &Log,
                 const admitted_request &Admitted)
      : Fleet(Fleet), Log(Log), Admitted(Admitted) {}

  /// Starts the next attempt. KnownEvents: events that earlier attempts have
  /// delivered.
  void onSent(const endpoint_descriptor &NewEndpoint, std::uint64_t KnownEvents,
              steady_time Now);
  /// The endpoint is alive later than its connection's creation.
  void onConnectionChosen(steady_time CreatedAt) { AliveAt = CreatedAt; }
  void onHead(steady_time Now);
  void onEvents(std::uint64_t EventCount, steady_time Now);
  void onComplete(steady_time Now);
  /// Records that the connection ended without a valid response.
  /// SilentSince: since when the endpoint would have sent something if it had
  /// been alive; nullopt if it may have been until now.
  void recordCrash(std::optional<steady_time> SilentSince, steady_time Now);
  /// Records that nothing comes from the endpoint any more. It is a crash if
  /// its process start has ended; see confirmCrashes().
  /// FailedRelease: the release that the attempt tells against then, if any.
  /// SilentSince: when the endpoint did not answer any more.
  void recordUnresponsive(std::optional<release_key> FailedRelease,
                          steady_time SilentSince, steady_time Now);
  /// Records that this VM does not await the rest of the response, for whatever
  /// reason. It is a crash if the process start ends soon. SilentSince: see
  /// recordCrash().
  void recordAbandoned(std::optional<steady_time> SilentSince, steady_time Now);
  /// The same, because of bytes that are no response.
  void recordMalformed(steady_time Now);
  /// Ends the attempt: it tells nothing of the endpoint.
  void drop() { IsOpen = false; }
  /// The same, and logs why an attempt without a valid response is no crash.
  void recordUncounted(const char *Reason);
  /// When the request was sent or its response last got on.
  steady_time lastProgressAt() const { return LastProgressAt; }

  /// Whether the request must not be sent again: endpoints crash under it.
  bool isQuarantined() const;
  /// Events that the current attempt has delivered.
  std::uint64_t attemptEvents() const { return Events; }

private:
  observed_crash observed(attempt_end End, steady_time CrashedBy,
                          steady_time Now) const;
  /// See observed_crash.
  std::optional<steady_time> coincidentSince(attempt_end End) const;
  /// Dates the crash by the life of its connection if that tells more.
  void narrow(observed_crash &Crash, steady_time Now) const;
  void addUnconfirmed(observed_crash Observed,
                      std::optional<release_key> FailedRelease);
  /// A response to a prompt with these segments makes progress.
  void clearSegments(steady_time Now);

  fleet_state &Fleet;
  const event_log &Log;
  const admitted_request &Admitted;
  endpoint_descriptor Endpoint;
  std::uint64_t EventsBefore = 0;
  std::uint64_t Events = 0;
  bool HasHead = false;
  /// Whether the attempt has not been recorded yet.
  bool IsOpen = false;
  steady_time SentAt;
  steady_time AliveAt;
  steady_time LastProgressAt;
};

} // namespace azurehaven
