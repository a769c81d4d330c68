#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <string>

namespace azurehaven::platform {

enum class request_kind { Lookup, Booking, Stream };

/// One request and the response that its caller received.
struct caller_record {
  request_id Id;
  request_kind Kind = request_kind::Lookup;
  std::string Account;
  /// The entry process that the request was sent to.
  std::string Entry;
  steady_time SentAt;
  steady_time EndedAt;
  milliseconds Deadline{0};
  /// HTTP status; 0 without a response.
  int Status = 0;
  /// Whether the response was received to its proper end.
  bool IsWhole = false;
  /// Whether the connection had carried a request before.
  bool WasKept = false;
  /// Time between the previous response and this request.
  milliseconds Rested{0};
  /// Whether every byte of the request was sent.
  bool IsSentWhole = false;
  /// Whether the caller closed the connection before a whole response.
  bool HasCallerLeft = false;
  /// The received part of the body of a successful response.
  std::string Body;
};

} // namespace azurehaven::platform
