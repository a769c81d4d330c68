#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

/// A run of prompt tokens that engines cache by its id.
struct prompt_segment {
  std::string Id;
  std::uint32_t Tokens = 0;
};

/// What the decisions need to know of one request.
struct dispatch_request {
  request_id Id;
  std::string Method;
  std::string Host;
  std::string Path;
  std::string ApiKey;
  /// How long the caller will wait, from its arrival.
  std::optional<milliseconds> Deadline;
  /// The model that the caller names; "*" leaves the choice to the system.
  std::string RequestedModel;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  /// In order; the last one belongs to the request or its session.
  std::vector<prompt_segment> Prompt;
  std::string Session;
  /// The last event that the caller has of this stream.
  std::optional<std::uint64_t> LastEventId;

  bool acceptsAnyModel() const { return RequestedModel == "*"; }
};

} // namespace azurehaven
