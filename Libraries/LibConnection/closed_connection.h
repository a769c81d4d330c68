#pragma once

#include "LibTypes/units.h"

#include <cstddef>
#include <cstdint>

namespace azurehaven {

/// Why a caller's connection was closed.
enum class close_reason {
  /// The caller closed or reset it.
  ByCaller,
  /// No request came within the idle timeout.
  IdleTimeout,
  /// The last response is sent, and none follows.
  AfterResponse,
  /// The listener has too many connections.
  ConnectionLimit,
  /// The process stops.
  Stop,
  /// The response that has begun can't be completed.
  Aborted,
};

/// A stable identifier for logs and metrics.
const char *nameOf(close_reason Reason);

/// A caller's connection as it was closed.
struct closed_connection {
  close_reason Reason = close_reason::ByCaller;
  /// Whether a complete request was read that had no complete response yet.
  bool HasRequest = false;
  /// Of the request that was being read.
  std::size_t RequestBytes = 0;
  /// Received by the operating system and not read.
  std::size_t UnreadBytes = 0;
  /// Of responses, not yet handed to the operating system.
  std::size_t UnsentBytes = 0;
  /// Since the last response, or since the connection was made.
  milliseconds IdleTime{0};
  /// Time after which the running timeout would have ended; 0 if none ran.
  milliseconds ArmedTimeout{0};
  /// Responses that the connection has carried.
  std::uint64_t Responses = 0;

  /// Whether a request, or a part of one, may have been left without a complete
  /// response although its caller had not closed the connection.
  bool hasUnansweredRequest() const {
    return Reason != close_reason::ByCaller &&
           (HasRequest || RequestBytes > 0 || UnreadBytes > 0 ||
            UnsentBytes > 0);
  }
};

} // namespace azurehaven
