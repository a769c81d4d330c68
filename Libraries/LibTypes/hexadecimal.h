#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace azurehaven {

/// Two lower-case digits for each byte.
std::string toHexadecimal(std::string_view Bytes);
/// Returns nullopt for anything but pairs of digits.
std::optional<std::string> fromHexadecimal(std::string_view Text);

} // namespace azurehaven
