#pragma once

#include "LibServer/http_server.h"
#include "LibTypes/units.h"

#include <optional>
#include <string>

namespace azurehaven {

/// Whether a refused request may have been executed.
enum class run_state {
  /// The request has certainly not been executed.
  NotRun,
  MayHaveRun,
};

/// An error response to a caller.
struct refusal {
  int Status = 500;
  /// Stable error code for programs.
  std::string Code;
  run_state Run = run_state::NotRun;
  std::string Message;
  /// Delay after which a retry may succeed; nullopt if it never will.
  std::optional<milliseconds> RetryAfter;
};

std::string encodeRefusal(const refusal &Refusal, const std::string &RequestId);
served_response respondWith(const refusal &Refusal,
                            const std::string &RequestId);

} // namespace azurehaven
