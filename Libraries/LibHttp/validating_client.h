#pragma once

#include "LibHttp/response_parser.h"
#include "LibTypes/network_address.h"

#include <httplib.h>

namespace azurehaven {

/// A client of cpp-httplib, which is lenient, that fails on responses which
/// response_parser takes for malformed or does not end at the same byte. A
/// response without a length fails, too: the library takes a reset for its end.
class validating_client : public httplib::ClientImpl {
public:
  explicit validating_client(const network_address &To)
      : httplib::ClientImpl(To.Host, To.Port) {}

  /// Sends one request. Errors: those of the library.
  bool sendRequest(httplib::Request &Request, httplib::Response &Response,
                   httplib::Error &Error);
  /// Whether the last response was not accepted, though it came.
  bool hasRejectedResponse() const { return HasRejectedResponse; }

private:
  bool process_socket(
      const Socket &Socket,
      std::function<bool(httplib::Stream &Stream)> Callback) override;

  response_parser Parser;
  bool HasRejectedResponse = false;
};

} // namespace azurehaven
