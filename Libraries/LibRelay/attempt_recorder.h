#pragma once

#include "LibLog/event_log.h"
#include "LibRelay/admitted_request.h"
#include "LibRelay/fleet_state.h"
#include "LibRelay/response_timing.h"

namespace azurehaven {

/// Measures the attempts of one request, one after the other, and counts each
/// of them once in the statistics of its endpoint's release.
class attempt_recorder {
public:
  attempt_recorder(fleet_state &Fleet, const event_log &Log,
                   const admitted_request &Admitted)
      : Fleet(Fleet), Log(Log), Admitted(Admitted) {}

  /// Starts the next attempt. If the prompt is not cached, the time to the head
  /// counts only beyond the route's objective: the time to read the prompt
  /// tells nothing of the release. KnownEvents: events that earlier attempts
  /// have delivered.
  void onSent(const endpoint_descriptor &NewEndpoint, const model_id &NewModel,
              bool NewIsPromptCached, std::uint64_t KnownEvents,
              steady_time Now);
  void onHead(steady_time Now) { Timing.onHead(Now); }
  void onEvents(std::uint64_t EventCount, steady_time Now);
  double msSinceSent(steady_time Now) const { return Timing.msSinceSent(Now); }

  bool isRunning() const { return IsRunning; }

  /// Counts the attempt, which has succeeded or failed.
  void record(bool HasFailed, steady_time Now);
  /// Ends the attempt without counting it: it tells nothing of the release.
  void drop() { IsRunning = false; }
  /// Counts the attempt as slow if that is certain before it ends. An attempt
  /// that ends without a result, for example because its caller has left, tells
  /// nothing else.
  void recordIfSlow(steady_time Now);

private:
  /// The latency without what can't be compared with other attempts.
  response_latency comparable(response_latency Latency) const;
  /// What the time to the head is compared with.
  const latency_baseline &headBaseline() const;
  bool isSlow(const response_latency &Latency) const;
  /// Adds the latency of a response to what is usual.
  void learn(const response_latency &Latency, steady_time Now);
  void logSlow(const response_latency &Latency) const;
  void add(const release_counts &Counts);
  /// Counts the outcome of a plain request for the judgement of a release that
  /// is being rolled out.
  void addEvidence(bool HasFailed, const response_latency &Latency,
                   steady_time Now);

  fleet_state &Fleet;
  const event_log &Log;
  const admitted_request &Admitted;
  endpoint_descriptor Endpoint;
  model_id Model;
  response_timing Timing;
  bool IsPromptCached = true;
  std::uint64_t EventCount = 0;
  bool IsRunning = false;
  /// Whether the running attempt has been counted as slow.
  bool IsCounted = false;
};

} // namespace azurehaven
