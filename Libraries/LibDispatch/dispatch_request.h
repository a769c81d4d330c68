#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

/// A segment of the prompt that engines cache under its id.
struct prompt_segment {
  std::string Id;
  std::uint32_t Tokens = 0;
};

/// The VM that has forwarded a caller's request to this one.
struct forwarding_origin {
  vm_id Vm;
  /// Attempts there that endpoints may have executed.
  int RunCount = 0;
  /// How many more this VM may make; nullopt if that VM names no limit, as an
  /// earlier build.
  std::optional<int> AllowedRuns{};
};

/// The properties of a request that placement and retry decisions use.
struct dispatch_request {
  request_id Id;
  std::string Method;
  std::string Host;
  std::string Path;
  /// Nullopt if the target has none.
  std::optional<std::string> Query;
  std::string ApiKey;
  /// How long the caller waits, counted from the arrival of the request.
  std::optional<milliseconds> Deadline;
  /// The model that the caller requests; "*" accepts any model of the route.
  std::string RequestedModel;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  /// In prompt order; the last segment is specific to the request or its
  /// session.
  std::vector<prompt_segment> Prompt;
  std::string Session;
  /// Id of the last event of this stream that the caller received.
  std::optional<std::uint64_t> LastEventId;
  /// Nullopt if the request comes from its caller.
  std::optional<forwarding_origin> Origin;

  bool acceptsAnyModel() const { return RequestedModel == "*"; }
};

} // namespace azurehaven
