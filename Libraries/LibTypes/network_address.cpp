#include "LibTypes/network_address.h"

#include <arpa/inet.h>
#include <charconv>

namespace azurehaven {

result<network_address> parseNetworkAddress(const std::string &Text) {
  const error InvalidAddress{error_code::InvalidInput,
                             "\"" + Text +
                                 "\"; accepted: an IPv4 address and a port, "
                                 "such as 127.0.0.1:8080"};
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return InvalidAddress;
  network_address Address;
  Address.Host = Text.substr(0, Colon);
  in_addr IpAddress{};
  if (inet_pton(AF_INET, Address.Host.c_str(), &IpAddress) != 1)
    return InvalidAddress;
  const char *Begin = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Begin, End, Address.Port);
  if (Code != std::errc() || Stop != End || Address.Port == 0)
    return InvalidAddress;
  return Address;
}

} // namespace azurehaven
