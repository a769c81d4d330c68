#pragma once

#include "LibConnection/endpoint_connection.h"

#include <functional>
#include <variant>

namespace azurehaven {

using call_result = std::variant<http_response, http_failure>;
using call_handler = std::function<void(call_result)>;

/// Sends one request on the connection and passes the complete response or the
/// failure to the handler. After the timeout the call fails and the connection
/// is closed.
void startCall(std::shared_ptr<endpoint_connection> Connection,
               outgoing_request Request, milliseconds Timeout,
               call_handler Handler);

/// Formats a request that this process sends on its own account, not for a
/// caller, so without forwarded header fields.
outgoing_request formatCall(const std::string &Method,
                            const std::string &Target,
                            const network_address &Address,
                            const std::string &JsonBody = {});

} // namespace azurehaven
