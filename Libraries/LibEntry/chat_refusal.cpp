#include "LibEntry/chat_refusal.h"

namespace azurehaven {

refusal makeRoutingRefusal(const routing_refusal &Refusal, run_state Run) {
  switch (Refusal.Reason) {
  case refusal_reason::VersionWithdrawn:
    return refusal{410, "session_ended", Run,
                   "the session's version is withdrawn or not allowed; "
                   "start a new session",
                   std::nullopt};
  case refusal_reason::NoAllowedVersion:
    return refusal{403, "not_allowed", Run,
                   "the account may use no version for this request",
                   std::nullopt};
  case refusal_reason::NoEndpoint:
    return refusal{503, "no_endpoint", Run, "no endpoint is available",
                   Refusal.RetryAfter};
  case refusal_reason::CrashCausing:
    return refusal{422, "crash_causing", Run,
                   "this request crashed two endpoints and is not run "
                   "again",
                   std::nullopt};
  case refusal_reason::PromptCrashCausing:
    return refusal{422, "prompt_crash_causing", Run,
                   "endpoints crash under a message of this request, which "
                   "is not run",
                   std::nullopt};
  case refusal_reason::Overloaded:
    return refusal{429, "overloaded", Run, "no slot would be free in time",
                   Refusal.RetryAfter};
  }
  return refusal{500, "internal", Run, "unknown refusal reason", std::nullopt};
}

} // namespace azurehaven
