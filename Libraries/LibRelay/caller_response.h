#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibRelay/relay.h"

#include <memory>
#include <optional>

namespace azurehaven {

/// The one response of a relayed request: a whole one, or a stream that is sent
/// as its events come.
class caller_response {
public:
  caller_response(relay_context &Context,
                  std::shared_ptr<caller_connection> Caller)
      : Context(Context), Caller(std::move(Caller)) {}

  void setObserver(std::weak_ptr<caller_observer> Observer);
  /// Whether events of a stream have been sent, and when the first one was.
  bool hasStarted() const { return FirstEventAt.has_value(); }
  std::optional<steady_time> firstEventAt() const { return FirstEventAt; }
  /// Head: that of the stream, which is sent before its first event.
  void sendEvents(const response_head &Head, const std::string &Events,
                  steady_time Now);
  /// Whether the caller is too slow for its stream to be read on.
  bool isBacklogged() const;
  /// Ends the stream, which may have had no event.
  void finishStream(const response_head &Head);
  void sendWhole(const response_head &Head, const std::string &Body);
  /// Sends an error response of this VM.
  void sendError(const request_id &Id, const error_response &Error);
  /// Closes the connection, so that the response does not look complete.
  void abort() { Caller->abort(); }

private:
  void startStream(const response_head &Head);

  relay_context &Context;
  const std::shared_ptr<caller_connection> Caller;
  std::optional<steady_time> FirstEventAt;
};

} // namespace azurehaven
