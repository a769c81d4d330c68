#pragma once

#include "LibConnection/endpoint_connection.h"

#include <functional>
#include <variant>

namespace azurehaven {

using call_result = std::variant<http_response, http_failure>;
using call_handler = std::function<void(call_result)>;

/// Sends one request on the connection and hands over the whole response, or
/// a failure once the time is up.
void startCall(std::shared_ptr<endpoint_connection> Connection,
               outgoing_request Request, milliseconds Timeout,
               call_handler Handler);

/// A request without forwarded fields, ready to send.
outgoing_request formatCall(const std::string &Method,
                            const std::string &Target,
                            const network_address &Address,
                            const std::string &JsonBody = {});

} // namespace azurehaven
