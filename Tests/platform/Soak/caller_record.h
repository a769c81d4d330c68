#pragma once

#include "LibTypes/ids.h"
#include "Soak/kept_connection.h"

namespace azurehaven::platform {

enum class request_kind { Lookup, Booking, Stream };

/// One request and the response that its caller received.
struct caller_record : kept_exchange {
  request_id Id;
  request_kind Kind = request_kind::Lookup;
  std::string Account;
  /// The entry process that the request was sent to.
  std::string Entry;
  steady_time SentAt;
  steady_time EndedAt;
  milliseconds Deadline{0};
  /// Whether the connection had carried a request before.
  bool WasKept = false;
  /// Time between the previous response and this request.
  milliseconds Rested{0};
};

} // namespace azurehaven::platform
