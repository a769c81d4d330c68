#include "LibRelay/caller_response.h"

namespace azurehaven {

namespace {

/// With more bytes queued for a slow caller, reading from its endpoint is
/// paused.
constexpr std::size_t MaxCallerBacklogBytes = 256 << 10;
/// The same while the connections have used up their memory.
constexpr std::size_t MinCallerBacklogBytes = 16 << 10;

} // namespace

void caller_response::setObserver(std::weak_ptr<caller_observer> Observer) {
  Caller->setObserver(std::move(Observer));
}

void caller_response::startStream(const response_head &Head) {
  Caller->startResponse(Head.Status, Context.Codec.forwardedHeaders(Head));
}

void caller_response::sendEvents(const response_head &Head,
                                 const std::string &Events, steady_time Now) {
  if (!hasStarted()) {
    FirstEventAt = Now;
    startStream(Head);
  }
  Caller->sendChunk(Events);
}

void caller_response::finishStream(const response_head &Head) {
  if (!hasStarted())
    startStream(Head);
  Caller->finishResponse();
}

bool caller_response::isBacklogged() const {
  const std::size_t Limit = Context.Memory.ofCallers().isExhausted()
                                ? MinCallerBacklogBytes
                                : MaxCallerBacklogBytes;
  return Caller->pendingBytes() > Limit;
}

void caller_response::sendWhole(const response_head &Head,
                                const std::string &Body) {
  Caller->sendResponse(Head.Status, Context.Codec.forwardedHeaders(Head), Body);
}

void caller_response::sendError(const request_id &Id,
                                const error_response &Error) {
  Caller->sendResponse(Error.Status,
                       Context.Codec.localResponseHeaders(Id, Error.RetryAfter),
                       {});
}

} // namespace azurehaven
