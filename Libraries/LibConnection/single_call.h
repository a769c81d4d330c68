#pragma once

#include "LibConnection/endpoint_connection.h"

#include <functional>
#include <variant>

namespace azurehaven {

using call_result = std::variant<http_response, http_failure>;
using call_handler = std::function<void(call_result)>;

/// What a call waits for, and how much of it.
struct call_limits {
  milliseconds Timeout{1000};
  std::size_t ResponseBytes = 16 << 20;
};

/// Sends one request on the connection and passes the complete response or the
/// failure to the handler. Beyond its limits the call fails and the connection
/// is closed.
void startCall(std::shared_ptr<endpoint_connection> Connection,
               outgoing_request Request, const call_limits &Limits,
               call_handler Handler);
/// The same with the usual limit on the response.
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
