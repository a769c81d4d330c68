#pragma once

#include "LibDispatch/prompt_quarantine.h"

namespace azurehaven {

/// The end of an attempt by which its endpoint seems to have crashed.
struct observed_crash {
  request_id Request;
  service_id Service;
  std::uint64_t Fingerprint = 0;
  /// Names the endpoint; see processStartId().
  endpoint_id ProcessStart;
  std::vector<prompt_segment> Prompt;
  /// Empty if the segments are not to blame: the request was still waiting, or
  /// its response made progress.
  std::vector<segment_key> BlamedSegments;
  steady_time At;
};

} // namespace azurehaven
