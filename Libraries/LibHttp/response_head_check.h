#pragma once

#include "LibHttp/http_message.h"

namespace azurehaven {

/// Whether a parsed response head has a status that HTTP defines, only tokens
/// as names of fields, and at most one indication of the body's length. For
/// heads from a parser that is lenient in this. Source: RFC 9110, sections 5.1
/// and 15; RFC 9112, section 6.3.
bool isWellFormedHead(int Status, const http_headers &Headers);

/// Whether only the end of the connection ends the response's body. The head
/// has to be well formed. Source: RFC 9112, section 6.3.
bool isEndedByConnection(const std::string &Method, int Status,
                         const http_headers &Headers);

} // namespace azurehaven
