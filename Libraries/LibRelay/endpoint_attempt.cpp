#include "LibRelay/endpoint_attempt.h"

#include "LibDispatch/endpoint_health.h"
#include "LibRelay/alleged_crash.h"
#include "LibRelay/endpoint_shares.h"
#include "LibRelay/path_watch.h"
#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

/// Status of an endpoint that has no room for the request.
constexpr int RejectedStatus = 503;

attempt_failure attemptFailureOf(const http_failure &Failure) {
  if (Failure.Delivery == delivery::NotSent)
    return attempt_failure::NotSent;
  switch (Failure.Loss) {
  case connection_loss::TimedOut:
    return attempt_failure::Unresponsive;
  case connection_loss::Rejected:
    return attempt_failure::Malformed;
  case connection_loss::Ended:
  case connection_loss::Refused:
    break;
  }
  return attempt_failure::NoValidResponse;
}

} // namespace

endpoint_attempt::endpoint_attempt(relay_context &Context,
                                   attempt_target Target,
                                   std::shared_ptr<endpoint_record> Endpoint,
                                   request_id Id, double PromptWork,
                                   std::weak_ptr<attempt_observer> Observer)
    : Context(Context), Target(Target), Endpoint(std::move(Endpoint)),
      Id(std::move(Id)), Observer(std::move(Observer)), PromptWork(PromptWork) {
  ++this->Endpoint->InFlight;
  this->Endpoint->PromptWork += PromptWork;
}

endpoint_attempt::~endpoint_attempt() { removeFromLoad(); }

void endpoint_attempt::removePromptWork() {
  Endpoint->PromptWork -= std::exchange(PromptWork, 0);
}

void endpoint_attempt::removeFromLoad() {
  removePromptWork();
  removeFromUnanswered();
  if (IsCounted)
    --Endpoint->InFlight;
  IsCounted = false;
}

void endpoint_attempt::start(outgoing_request Request, connection_reuse Trust) {
  SentAt = Context.Clock.now();
  Endpoint->RateLimit.consume(SentAt);
  Endpoint->Brittle.onSent();
  IsUnanswered = true;
  Connection =
      Context.Connections.acquire(Endpoint->Descriptor.Address, Trust, SentAt);
  IsConnecting = !Connection->isIdle();
  Connection->start(std::move(Request), shared_from_this());
}

void endpoint_attempt::cancel() {
  removeFromLoad();
  if (Connection)
    Connection->abort();
}

void endpoint_attempt::pauseReading() {
  if (Connection)
    Connection->pauseReading();
}

void endpoint_attempt::resumeReading() {
  if (Connection)
    Connection->resumeReading();
}

void endpoint_attempt::applyEndpointState(const decoded_response_head &Response,
                                          steady_time Now) {
  Endpoint->LastReceivedAt = Now;
  recordReceived(Context, *Endpoint, Now);
  if (Response.Load)
    Endpoint->Load = Response.Load;
  const endpoint_id &EndpointId = Endpoint->Descriptor.Id;
  if (Response.MalformedField &&
      !std::exchange(Endpoint->HasLoggedMalformedField, true))
    Context.Log.write(
        log_level::Warning, "response_field_malformed",
        {{"endpoint", EndpointId.text()}, {"field", Response.MalformedField}});
  // Another endpoint that has taken over the address speaks of itself.
  if (Response.IsMisdirected)
    return;
  if (Response.IsLeaving)
    markEndpointLeaving(Context, *Endpoint, Now);
  if (!Response.HasUnreadableLimit) {
    applyRateLimit(Response, Now);
    applyBrittleness(Response, Now);
  }
  if (!Response.RetryAfter)
    return;
  recordShedding(*Endpoint, *Response.RetryAfter, spreadFraction(), Now);
  Context.Log.write(
      log_level::Warning, "endpoint_sheds_load",
      {{"endpoint", EndpointId.text()},
       {"request", Id.text()},
       {"retry_after_ms", std::to_string(Response.RetryAfter->count())}});
}

void endpoint_attempt::applyRateLimit(const decoded_response_head &Response,
                                      steady_time Now) {
  const auto Before = Endpoint->RateLimit.latest().PerSecond;
  Endpoint->RateLimit.observe(Response.RequestsPerSecond, SentAt, Now);
  const auto After = Endpoint->RateLimit.latest().PerSecond;
  if (Before == After)
    return;
  updateRateShare(Context.Fleet, *Endpoint, Now);
  Context.Log.write(log_level::Info, "endpoint_limit_changed",
                    {{"endpoint", Endpoint->Descriptor.Id.text()},
                     {"request", Id.text()},
                     {"per_second", After ? std::to_string(*After) : "none"}});
}

void endpoint_attempt::applyBrittleness(const decoded_response_head &Response,
                                        steady_time Now) {
  const service_id &Service = Endpoint->Descriptor.Service;
  const bool IsNews = Context.Fleet.BrittleServices.observe(
      Service, Response.RejectionsPerSecond, SentAt, Now);
  if (IsNews) {
    updateBrittleQuotas(Context.Fleet);
    Context.Log.write(log_level::Info, "service_brittleness_changed",
                      {{"service", Service.text()},
                       {"endpoint", Endpoint->Descriptor.Id.text()},
                       {"request", Id.text()},
                       {"rejections_per_second",
                        Response.RejectionsPerSecond
                            ? std::to_string(*Response.RejectionsPerSecond)
                            : "any"}});
  }
  const bool IsRejected =
      Response.WasNotExecuted && Response.Status == RejectedStatus;
  if (IsRejected)
    Endpoint->Brittle.onRejected(spreadFraction(), Now);
}

double endpoint_attempt::spreadFraction() const {
  return rendezvousFraction(Endpoint->Descriptor.Id.text(),
                            Context.Fleet.Self.text());
}

void endpoint_attempt::removeFromUnanswered() {
  if (std::exchange(IsUnanswered, false))
    Endpoint->Brittle.onAnswered();
}

head_verdict endpoint_attempt::onResponseHead(const response_head &Head) {
  removePromptWork();
  const steady_time Now = Context.Clock.now();
  const decoded_response_head Response =
      Context.Codec.decodeResponseHead(Head, Now);
  if (isToEndpoint())
    applyEndpointState(Response, Now);
  IdleLimit = Response.IdleLimit;
  if (Response.EchoedRequestId && *Response.EchoedRequestId != Id)
    return head_verdict::SkipResponse;
  removeFromUnanswered();
  IsResponseIdentified = Response.EchoedRequestId.has_value();
  IsMisdirected = Response.IsMisdirected;
  if (isToEndpoint() && IsResponseIdentified)
    refuteAllegedCrash(Context, *Endpoint, Connection->createdAt(), SentAt,
                       Now);
  auto Receiver = Observer.lock();
  if (!Receiver)
    return head_verdict::Reject;
  return Receiver->onAttemptResponseHead(Head, Response);
}

void endpoint_attempt::onResponseBody(std::string Bytes) {
  const steady_time Now = Context.Clock.now();
  Endpoint->LastReceivedAt = Now;
  if (isToEndpoint())
    recordReceived(Context, *Endpoint, Now);
  removePromptWork();
  if (auto Receiver = Observer.lock())
    Receiver->onAttemptResponseBody(std::move(Bytes));
}

void endpoint_attempt::onResponseEnd() {
  removeFromLoad();
  // The connection can't be reused while the request is still being sent. A
  // late second copy of a response that names no request would be taken for the
  // response to the next one, and one of a misdirected response for that to the
  // same request, sent to the endpoint that has the address now.
  const bool IsCopyRecognizable = IsResponseIdentified && !IsMisdirected;
  if (Connection->isIdle() && IsCopyRecognizable)
    Context.Connections.release(Connection, IdleLimit, Context.Clock.now());
  else
    Connection->abort();
  if (auto Receiver = Observer.lock())
    Receiver->onAttemptResponseEnd();
  // From now on the connection may carry another request.
  Connection.reset();
}

void endpoint_attempt::onRequestSent() {
  if (std::exchange(IsConnecting, false) && isToEndpoint())
    recordConnected(Context, *Endpoint, Context.Clock.now());
}

void endpoint_attempt::onExchangeFailed(const http_failure &Failure) {
  removeFromLoad();
  if (Failure.Delivery == delivery::NotSent && isToEndpoint())
    recordUnreachable(Context, *Endpoint, Context.Clock.now());
  auto Receiver = Observer.lock();
  if (!Receiver)
    return;
  Receiver->onAttemptFailed(attemptFailureOf(Failure), Failure.Message);
}

} // namespace azurehaven
