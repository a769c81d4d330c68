#include "LibRelay/relayed_attempt.h"

#include "LibDispatch/placement.h"
#include "LibRelay/request_placement.h"

namespace azurehaven {

relayed_attempt::relayed_attempt(relay_context &Context,
                                 const admitted_request &Admitted,
                                 attempt_target Target,
                                 std::shared_ptr<endpoint_record> Endpoint,
                                 attempt_model Model, int Runs,
                                 std::weak_ptr<attempt_owner> Owner)
    : Context(Context), Admitted(Admitted), Target(Target),
      Endpoint(std::move(Endpoint)), Model(std::move(Model)), Runs(Runs),
      Owner(std::move(Owner)),
      Memory(Context.Memory.ofEndpoint(this->Endpoint->Descriptor.Id)),
      ResponseBody(Memory), PartialEvent(Memory.get()),
      Observed(Context.Fleet, Context.Log, Admitted) {}

void relayed_attempt::start(outgoing_request Outgoing,
                            std::uint64_t KnownEvents) {
  const steady_time Now = Context.Clock.now();
  const double OwnWork =
      isForwarded()
          ? 0
          : promptWorkOn(Context.Fleet, Admitted, Model.Index, *Endpoint, Now);
  const double PromptWorkAhead = pendingPromptWork(*Endpoint) + OwnWork;
  Exchange = std::make_shared<endpoint_attempt>(Context, Target, Endpoint,
                                                Admitted.Request.Id, OwnWork,
                                                weak_from_this());
  if (isForwarded())
    Observed.onForwarded(Endpoint, KnownEvents, Now);
  else
    Observed.onSent(Endpoint, Model.Id, Model.Index, KnownEvents,
                    PromptWorkAhead, Now);
  IsRunning = true;
  Exchange->start(std::move(Outgoing), Admitted.Route->allowsReexecution()
                                           ? connection_reuse::AnyIdle
                                           : connection_reuse::RecentlyUsed);
  if (!isForwarded())
    Observed.onConnectionChosen(Exchange->connectionCreatedAt());
  startMonitor();
}

void relayed_attempt::cancel() {
  if (std::exchange(IsRunning, false))
    Observed.onCancelled(Exchange->mayHaveArrived(), Context.Clock.now());
  stopMonitor();
  Exchange->cancel();
}

void relayed_attempt::startMonitor() {
  if (!IsRunning || isForwarded() || !Admitted.Route->allowsReexecution())
    return;
  std::optional<milliseconds> PlainIdleTimeout;
  if (!Admitted.isForEngines())
    PlainIdleTimeout = plainIdleTimeout(
        *Admitted.Route,
        Context.Fleet.LatencyBaseline.meanMs(Admitted.Route->Name, Model.Id));
  stopMonitor();
  Monitor = std::make_shared<liveness_monitor>(
      Context, Endpoint, Admitted.Request.Id, PlainIdleTimeout,
      [Weak = weak_from_this()](const std::string &Reason) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (auto Receiver = Self->Owner.lock())
          Receiver->onAttemptSilent(*Self, Reason);
      });
  Monitor->start();
}

void relayed_attempt::stopMonitor() {
  if (Monitor)
    Monitor->stop();
}

void relayed_attempt::onProgress(steady_time Now) {
  if (Monitor)
    Monitor->onProgress(Now);
}

attempt_failure relayed_attempt::failureOfSilent() const {
  // An engine is inspected before it counts as unresponsive; nothing tells
  // whether a plain endpoint still runs.
  return Admitted.isForEngines() ? attempt_failure::Unresponsive
                                 : attempt_failure::Silent;
}

void relayed_attempt::acceptHead(const response_head &Head,
                                 const decoded_response_head &NewResponse) {
  ResponseHead = Head;
  Response = NewResponse;
  ResponseBody.clear();
}

head_verdict relayed_attempt::onAttemptResponseHead(
    const response_head &Head, const decoded_response_head &NewResponse) {
  auto Receiver = Owner.lock();
  return Receiver ? Receiver->onAttemptResponseHead(*this, Head, NewResponse)
                  : head_verdict::Reject;
}

void relayed_attempt::onAttemptResponseBody(std::string Bytes) {
  if (auto Receiver = Owner.lock())
    Receiver->onAttemptResponseBody(*this, std::move(Bytes));
}

void relayed_attempt::onAttemptResponseEnd() {
  IsRunning = false;
  stopMonitor();
  if (auto Receiver = Owner.lock())
    Receiver->onAttemptResponseEnd(*this);
}

void relayed_attempt::onAttemptFailed(attempt_failure Failure,
                                      const std::string &Reason) {
  IsRunning = false;
  stopMonitor();
  if (auto Receiver = Owner.lock())
    Receiver->onAttemptFailed(*this, Failure, Reason);
}

} // namespace azurehaven
