#pragma once

#include "LibConnection/endpoint_connection.h"
#include "LibDispatch/attempt_policy.h"
#include "LibRelay/wire_codec.h"

namespace azurehaven {

class relayed_attempt;

/// Decides what becomes of the attempts of one request. Each call names the
/// attempt; onAttemptResponseEnd or onAttemptFailed is its last one.
class attempt_owner {
public:
  virtual ~attempt_owner() = default;
  virtual head_verdict
  onAttemptResponseHead(relayed_attempt &Attempt, const response_head &Head,
                        const decoded_response_head &Response) = 0;
  virtual void onAttemptResponseBody(relayed_attempt &Attempt,
                                     std::string Bytes) = 0;
  virtual void onAttemptResponseEnd(relayed_attempt &Attempt) = 0;
  virtual void onAttemptFailed(relayed_attempt &Attempt,
                               attempt_failure Failure,
                               const std::string &Reason) = 0;
  /// The attempt makes no progress. It is no longer watched, but goes on.
  virtual void onAttemptSilent(relayed_attempt &Attempt,
                               const std::string &Reason) = 0;
};

} // namespace azurehaven
