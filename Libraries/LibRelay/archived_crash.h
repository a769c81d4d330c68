#pragma once

#include "LibDispatch/crash_records.h"
#include "LibPeer/peer_message.h"
#include "LibTypes/result.h"

#include <string>
#include <vector>

namespace azurehaven {

/// A crash as the store keeps it. No process need live on, so that its time is
/// that of the wall clock.
struct archived_crash {
  crash_cause Cause = crash_cause::Request;
  std::uint64_t Fingerprint = 0;
  endpoint_id Endpoint;
  unix_millis At;
  crash_refutation Refutation = crash_refutation::None;
  /// See crash_record.
  milliseconds CoincidenceTime{0};
};

std::string encodeArchivedCrashes(const std::vector<archived_crash> &Crashes);
/// Errors: InvalidInput, also for a document of a later format.
result<std::vector<archived_crash>>
decodeArchivedCrashes(const std::string &Text);

} // namespace azurehaven
