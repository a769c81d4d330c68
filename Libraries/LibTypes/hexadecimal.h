#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace azurehaven {

/// Encodes each byte as two lower-case digits.
std::string toHexadecimal(std::string_view Bytes);
/// Returns nullopt unless the text consists of pairs of hexadecimal digits.
std::optional<std::string> fromHexadecimal(std::string_view Text);

} // namespace azurehaven
