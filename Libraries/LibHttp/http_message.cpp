#include "LibHttp/http_message.h"

#include <strings.h>

namespace azurehaven {

std::string headerValue(const http_headers &Headers, const std::string &Name) {
  for (const auto &[Key, Value] : Headers)
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return {};
}

} // namespace azurehaven
