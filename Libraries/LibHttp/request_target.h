#pragma once

#include <map>
#include <string>
#include <string_view>

namespace azurehaven {

/// The decoded path and query of a request.
struct request_target {
  std::string Path;
  std::map<std::string, std::string> Query;
};

/// Splits and decodes the origin form. Invalid percent-encoding is kept as
/// sent; of repeated query parameters, the first is kept. Sources: RFC 9112,
/// section 3.2.1; WHATWG URL, section 5.1.
request_target parseTarget(std::string_view Text);

} // namespace azurehaven
