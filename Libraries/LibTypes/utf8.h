#pragma once

#include <string>
#include <string_view>

namespace azurehaven {

/// The text, with \xHH in place of each byte that is not part of valid UTF-8
/// and \\ in place of each backslash if there is such a byte; unchanged if
/// there is none. Different texts from callers stay different in bills and
/// logs, which hold UTF-8 only.
std::string escapeInvalidUtf8(std::string_view Text);

} // namespace azurehaven
