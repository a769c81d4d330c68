#pragma once

#include <string>
#include <string_view>

namespace azurehaven {

/// Encodes all but unreserved characters. Source: RFC 3986, section 2.1.
std::string percentEncode(std::string_view Text);

} // namespace azurehaven
