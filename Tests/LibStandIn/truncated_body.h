#pragma once

#include "LibServer/http_server.h"

namespace azurehaven {

/// A response body that is truncated before its first byte, as if the process
/// had crashed after applying the request.
class truncated_body : public body_source {
public:
  std::optional<std::string> next() override { return std::nullopt; }
  bool isComplete() const override { return false; }
};

inline served_response truncatedResponse() {
  served_response Response;
  Response.Source = std::make_unique<truncated_body>();
  return Response;
}

} // namespace azurehaven
