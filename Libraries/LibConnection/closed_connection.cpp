#include "LibConnection/closed_connection.h"

namespace azurehaven {

const char *nameOf(close_reason Reason) {
  switch (Reason) {
  case close_reason::ByCaller:
    return "by_caller";
  case close_reason::IdleTimeout:
    return "idle_timeout";
  case close_reason::AfterResponse:
    return "after_response";
  case close_reason::ConnectionLimit:
    return "connection_limit";
  case close_reason::Stop:
    return "stop";
  case close_reason::Aborted:
    return "aborted";
  }
  return "unknown";
}

} // namespace azurehaven
