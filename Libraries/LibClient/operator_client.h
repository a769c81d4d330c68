#pragma once

#include "LibHttp/http_transport.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

struct operator_response {
  int Status = 0;
  nlohmann::json Body;
};

/// HTTP client of the operator API of one entry VM.
class operator_client {
public:
  operator_client(http_transport &Transport, network_address Address)
      : Transport(Transport), Address(std::move(Address)) {}

  result<operator_response> get(const std::string &Path);
  /// Submits a change. Retries with the same change id while the outcome is
  /// unknown, for a limited number of attempts.
  result<operator_response> submit(const nlohmann::json &Change);

private:
  result<operator_response> send(const http_request &Request);

  http_transport &Transport;
  const network_address Address;
};

} // namespace azurehaven
