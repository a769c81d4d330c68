#include "LibRelay/endpoint_attempt.h"

namespace azurehaven {

endpoint_attempt::endpoint_attempt(relay_context &Context,
                                   std::shared_ptr<endpoint_record> Endpoint,
                                   request_id Id, double PromptWork,
                                   std::weak_ptr<attempt_observer> Owner)
    : Context(Context), Endpoint(std::move(Endpoint)), Id(std::move(Id)),
      Owner(std::move(Owner)), PromptWork(PromptWork) {
  ++this->Endpoint->InFlight;
  this->Endpoint->PromptWork += PromptWork;
}

endpoint_attempt::~endpoint_attempt() { countOff(); }

void endpoint_attempt::countPromptOff() {
  Endpoint->PromptWork -= std::exchange(PromptWork, 0);
}

void endpoint_attempt::countOff() {
  countPromptOff();
  if (Counted)
    --Endpoint->InFlight;
  Counted = false;
}

void endpoint_attempt::start(outgoing_request Request, connection_trust Trust) {
  Connection = Context.Connections.take(Endpoint->Descriptor.Address, Trust,
                                        Context.Clock.now());
  Connection->start(std::move(Request), shared_from_this());
}

void endpoint_attempt::cancel() {
  countOff();
  Connection->abort();
}

head_verdict endpoint_attempt::onResponseHead(const response_head &Head) {
  countPromptOff();
  const decoded_response_head Answer =
      Context.Codec.decodeResponseHead(Head, Context.Clock.now());
  if (Answer.Load)
    Endpoint->Load = Answer.Load;
  Endpoint->LastReceivedAt = Context.Clock.now();
  IdleLimit = Answer.IdleLimit;
  if (Answer.EchoedRequestId && *Answer.EchoedRequestId != Id)
    return head_verdict::SkipResponse;
  auto Receiver = Owner.lock();
  if (!Receiver)
    return head_verdict::Reject;
  return Receiver->onAttemptResponseHead(Head, Answer);
}

void endpoint_attempt::onResponseBody(std::string Bytes) {
  Endpoint->LastReceivedAt = Context.Clock.now();
  countPromptOff();
  if (auto Receiver = Owner.lock())
    Receiver->onAttemptResponseBody(std::move(Bytes));
}

void endpoint_attempt::onResponseEnd() {
  countOff();
  // A request that is still being sent leaves its connection unfit for others.
  if (Connection->isIdle())
    Context.Connections.giveBack(Connection, IdleLimit, Context.Clock.now());
  else
    Connection->abort();
  if (auto Receiver = Owner.lock())
    Receiver->onAttemptResponseEnd();
}

void endpoint_attempt::onExchangeFailed(const http_failure &Failure) {
  countOff();
  auto Receiver = Owner.lock();
  if (!Receiver)
    return;
  Receiver->onAttemptFailed(Failure.Delivery == delivery::NotSent
                                ? attempt_failure::NotSent
                                : attempt_failure::NoValidResponse,
                            Failure.Message);
}

} // namespace azurehaven
