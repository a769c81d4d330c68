#pragma once

#include "LibTypes/result.h"

#include <cstdint>
#include <string>

namespace azurehaven {

/// An IPv4 address and a port, written "127.0.0.1:8080".
struct network_address {
  std::string Host;
  std::uint16_t Port = 0;

  auto operator<=>(const network_address &) const =
      default; // NOLINT(readability-identifier-naming)
  std::string text() const { return Host + ":" + std::to_string(Port); }
};

/// Returns InvalidInput unless the text is an IPv4 address, a colon and a port
/// other than 0.
result<network_address> parseNetworkAddress(const std::string &Text);

} // namespace azurehaven
