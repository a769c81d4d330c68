#pragma once

#include "LibDispatch/prompt_quarantine.h"
#include "LibDispatch/request_fingerprint.h"

#include <optional>

namespace azurehaven {

/// How an attempt ended for this VM.
enum class attempt_end {
  /// The endpoint ended the connection before a valid response.
  ConnectionEnded,
  /// Nothing came from the endpoint any more, also when it was asked.
  Unresponsive,
  /// What came was no response, so that this VM closed the connection.
  Malformed,
  /// This VM closed the connection for another reason, or nothing had come for
  /// so long that the endpoint may have ended before the connection.
  Unseen,
};

/// The end of an attempt by which its endpoint seems to have crashed.
struct observed_crash {
  request_id Request;
  service_id Service;
  request_fingerprint Fingerprint;
  /// Names the endpoint; see processStartId().
  endpoint_id ProcessStart;
  attempt_end End = attempt_end::ConnectionEnded;
  std::vector<prompt_segment> Prompt;
  /// Empty if the segments are not to blame: the response made progress.
  std::vector<segment_key> BlamedSegments;
  /// Whether the request is to blame. Not if it got its response elsewhere.
  bool IsRequestBlamed = true;
  /// Crashes of other endpoints from then on may have had the same cause,
  /// whatever the request; nullopt if the response had begun.
  std::optional<steady_time> CoincidentSince;
  steady_time SentAt;
  /// When the attempt ended.
  steady_time At;
  /// When the endpoint had crashed at the latest, if it did.
  steady_time CrashedBy;
};

} // namespace azurehaven
