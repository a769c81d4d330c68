#pragma once

#include "LibHttp/http_message.h"

namespace azurehaven {

/// Whether a parsed response head has a status that HTTP defines, only tokens
/// as names of fields, and at most one indication of the body's length. For
/// heads from a parser that is lenient in this. Source: RFC 9110, sections 5.1
/// and 15; RFC 9112, section 6.3.
bool isWellFormedHead(int Status, const http_headers &Headers);

} // namespace azurehaven
