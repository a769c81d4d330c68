#include "LibRelay/relayed_request.h"

#include "LibDispatch/endpoint_health.h"
#include "LibRelay/request_bill.h"
#include "LibRelay/request_placement.h"
#include "LibRelay/stop_admission.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// With more bytes queued for a slow caller, reading from its endpoint is
/// paused.
constexpr std::size_t MaxCallerBacklogBytes = 256 << 10;
/// Prompts on small models take a tenth of the time, so admitting them first
/// delays the others little. The default urgency is 5.
constexpr int SmallModelUrgency = 3;
/// VMs that one request is forwarded to, one after the other.
constexpr std::size_t MaxForwardingPeers = 2;
/// For a resumed stream: the caller has already received a part of it.
constexpr int ContinuationUrgency = 2;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

const char *nameOf(route_kind Kind) {
  switch (Kind) {
  case route_kind::Idempotent:
    return "idempotent";
  case route_kind::NonIdempotent:
    return "non_idempotent";
  case route_kind::Stream:
    return "stream";
  }
  return "unknown";
}

/// Whether another VM has refused a forwarded request, which then has not run
/// there. Only responses of endpoints are signed.
bool isRefusalByVm(const decoded_response_head &Response) {
  return !Response.IsSigned &&
         (Response.Status == 503 ||
          (Response.Status >= 400 && Response.Status < 500));
}

} // namespace

relayed_request::relayed_request(relay_context &Context,
                                 incoming_request Incoming,
                                 dispatch_request NewRequest,
                                 const route &NewRoute,
                                 const caller_account &Account,
                                 std::uint64_t Fingerprint,
                                 std::shared_ptr<caller_connection> Caller)
    : Context(Context), Head(std::move(Incoming.Head)),
      Body(std::make_shared<const std::string>(std::move(Incoming.Body))),
      Admitted(makeAdmittedRequest(std::move(NewRequest), Context.Fleet.Routes,
                                   NewRoute, Account, Fingerprint)),
      Request(Admitted.Request), Route(*Admitted.Route),
      Caller(std::move(Caller)), Budget(Admitted, Context.Clock.now()),
      Deadline(Context.Executor), PlacementWait(Context.Executor),
      Splicer(Request.LastEventId), ResponseBody(Context.BufferedResponseBytes),
      Observed(Context.Fleet, Context.Log, Admitted),
      Logged(Context.Log, Admitted) {
  Context.ActiveRequests.insert(this);
}

relayed_request::~relayed_request() { Context.ActiveRequests.erase(this); }

void relayed_request::start(relay_context &Context, incoming_request Incoming,
                            dispatch_request Request, const route &Route,
                            const caller_account &Account,
                            std::uint64_t Fingerprint,
                            std::shared_ptr<caller_connection> Caller) {
  std::shared_ptr<relayed_request> Relayed(
      new relayed_request(Context, std::move(Incoming), std::move(Request),
                          Route, Account, Fingerprint, std::move(Caller)));
  Relayed->begin();
}

void relayed_request::begin() {
  Caller->setObserver(weak_from_this());
  Deadline.expires_after(Budget.timeLimit());
  Deadline.async_wait(
      [Self = shared_from_this()](const asio::error_code &Code) {
        if (!Code)
          Self->onDeadline();
      });
  // The VM that forwards a request has recorded it.
  if (!Request.Origin)
    Context.Fleet.Retries.recordRequest(Admitted.Service, Budget.arrivedAt());
  startNextAttempt();
}

void relayed_request::startNextAttempt() {
  const steady_time Now = Context.Clock.now();
  // The monitor of the attempt before would end the next one.
  if (Liveness)
    Liveness->stop();
  if (Request.acceptsAnyModel() && !Route.ModelsBySize.empty()) {
    if (!ModelIndex)
      ModelIndex = Context.Fleet.Models.firstModel(Route, Request);
    Model = Route.ModelsBySize[*ModelIndex];
  }
  // The process may have been suspended since the request arrived, so that the
  // configuration is no longer current.
  const bool NeedsKey = Admitted.Routes->needsKeys() && !Route.IsPublic;
  if (NeedsKey && !Context.Fleet.Confirmation.isCurrent(Now))
    return refuse(
        errorResponseFor(Budget.mayHaveRun(), "configuration_not_confirmed"));
  // A stream that has begun goes on until the process exits.
  if (!ResponseStarted &&
      !isAdmittedDuringStop(Context.Fleet, Route, Budget.timeLeft(Now), Now))
    return refuse(stoppingErrorResponse(Budget.mayHaveRun()));
  if (const auto Peer = selectForwardingPeer(Now))
    return forwardTo(Peer);
  const request_placement Placement =
      placeRequest(Context.Fleet, Admitted, Tried, ModelIndex, Now);
  const auto &Target = Placement.Endpoint;
  // What peers have refused is not tried over a lost path.
  const bool IsRefusedByPeers =
      !TriedPeers.empty() && Context.Fleet.Paths.isLost(Admitted.Service);
  if (!Target || IsRefusedByPeers)
    return handleMissingEndpoint(Now);
  Logged.onReleaseChosen(Placement, Budget.sends() + 1, Now);
  startAttemptOn(Target);
}

void relayed_request::handleMissingEndpoint(steady_time Now) {
  const endpoint_list &Endpoints =
      Context.Fleet.Endpoints.endpointsOf(Admitted.Service);
  if (!PlacementWait.isWorthwhile(Endpoints, Now))
    return refuse(noEndpointErrorResponse(Budget.mayHaveRun(),
                                          timeUntilAdmission(Endpoints, Now)));
  PlacementWait.start(Now, [Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (Self && !Self->IsFinished)
      Self->startNextAttempt();
  });
}

std::shared_ptr<endpoint_record>
relayed_request::selectForwardingPeer(steady_time Now) {
  const bool MayForward = Context.Fleet.Paths.isLost(Admitted.Service) &&
                          !Request.Origin &&
                          TriedPeers.size() < MaxForwardingPeers;
  if (!MayForward)
    return nullptr;
  return Context.ForwardingPeers.select(Context.Fleet, Admitted.Service,
                                        TriedPeers, Now);
}

void relayed_request::forwardTo(const std::shared_ptr<endpoint_record> &Peer) {
  const steady_time Now = Context.Clock.now();
  Endpoint = Peer;
  TriedPeers.insert(Peer->Descriptor.Id);
  Budget.countSend();
  forwarding_parameters Parameters;
  // A peer that breaks off does not tell how often the request has run there,
  // so that it gets a part of the runs and is taken to have used it.
  PeerRuns = (Budget.runsLeft() + 1) / 2;
  Parameters.Origin = {Context.Fleet.Self, Budget.runs(), PeerRuns};
  Parameters.TimeLeft = Budget.timeLeft(Now);
  Parameters.ResumeAfter = Splicer.lastEventId();
  Parameters.BodySize = Body->size();
  Logged.onForwarded(Peer->Descriptor.Id, Budget.sends(), SendReason,
                     Parameters.TimeLeft);
  Context.Metrics.increment("azurehaven_forwarded_requests_total");
  Observed.onForwarded(Peer, Splicer.eventCount());
  Attempt = std::make_shared<endpoint_attempt>(
      Context, attempt_target::Vm, Peer, Request.Id, /*PromptWork=*/0,
      std::weak_ptr<attempt_observer>(shared_from_this()));
  outgoing_request Outgoing;
  Outgoing.Head = Context.Codec.encodeForwardedHead(Head, Parameters);
  Outgoing.Body = Body;
  Outgoing.IsHead = Head.Method == "HEAD";
  Attempt->start(std::move(Outgoing), Route.allowsReexecution()
                                          ? connection_reuse::AnyIdle
                                          : connection_reuse::RecentlyUsed);
}

void relayed_request::startAttemptOn(
    const std::shared_ptr<endpoint_record> &Target) {
  const steady_time Now = Context.Clock.now();
  Endpoint = Target;
  Tried.insert(Target->Descriptor.Id);
  Budget.countSend();
  attempt_parameters Parameters;
  Parameters.Endpoint = Target->Descriptor.Id;
  Parameters.Address = Target->Descriptor.Address;
  Parameters.Account = Admitted.Account.Account;
  Parameters.TimeLeft = Budget.timeLeft(Now);
  if (Request.acceptsAnyModel() && !Model.empty())
    Parameters.Model = Model;
  if (ResponseStarted)
    Parameters.Urgency = ContinuationUrgency;
  else if (ModelIndex && *ModelIndex + 1 < Route.ModelsBySize.size())
    Parameters.Urgency = SmallModelUrgency;
  Parameters.ResumeAfter = Splicer.lastEventId();
  Parameters.BodySize = Body->size();
  Logged.onSent(*Target, Model, Budget.sends(), SendReason,
                Parameters.TimeLeft);
  const double OwnWork =
      promptWorkOn(Context.Fleet, Admitted, ModelIndex, *Target, Now);
  const double PromptWorkAhead = pendingPromptWork(*Target) + OwnWork;
  Attempt = std::make_shared<endpoint_attempt>(
      Context, attempt_target::Endpoint, Target, Request.Id, OwnWork,
      std::weak_ptr<attempt_observer>(shared_from_this()));
  outgoing_request Outgoing;
  Outgoing.Head = Context.Codec.encodeRequestHead(Head, Request, Parameters);
  Outgoing.Body = Body;
  Outgoing.IsHead = Head.Method == "HEAD";
  Observed.onSent(Target, Model, ModelIndex, Splicer.eventCount(),
                  PromptWorkAhead, Now);
  Cost += attemptCost(Admitted, ModelIndex);
  Attempt->start(std::move(Outgoing), Route.allowsReexecution()
                                          ? connection_reuse::AnyIdle
                                          : connection_reuse::RecentlyUsed);
  if (Route.allowsReexecution())
    startLivenessMonitor();
}

void relayed_request::startLivenessMonitor() {
  std::optional<milliseconds> PlainIdleTimeout;
  if (!Admitted.isForEngines())
    PlainIdleTimeout = plainIdleTimeout(
        Route, Context.Fleet.LatencyBaseline.meanMs(Route.Name, Model));
  Liveness = std::make_shared<liveness_monitor>(
      Context, Endpoint, Request.Id, PlainIdleTimeout,
      [Weak = weak_from_this()](const std::string &Reason) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        // A request that can't be retried is not ended merely because its
        // endpoint is unresponsive: it may still respond.
        const steady_time Now = Self->Context.Clock.now();
        if (!Self->mayRetryElsewhere(Now))
          return;
        if (!Self->canRetryElsewhereNow(Now))
          return Self->startLivenessMonitor();
        Self->onAttemptFailed(Self->failureOfUnresponsive(), Reason);
      });
  Liveness->start();
}

void relayed_request::recordIfSlow(steady_time Now) {
  Observed.recordIfSlow(Now);
}

void relayed_request::refreshSessionPin(steady_time Now) {
  if (Attempt)
    Observed.refreshSessionPin(Now);
}

head_verdict relayed_request::onAttemptResponseHead(
    const response_head &NewHead, const decoded_response_head &NewResponse) {
  if (IsFinished)
    return head_verdict::Reject;
  const bool IsAttributable =
      NewResponse.EchoedRequestId || !isSuccess(NewResponse.Status);
  const bool IsForwardable =
      !isSuccess(NewResponse.Status) ||
      (NewResponse.IsSigned && !NewResponse.HasContentEncoding);
  if (!IsAttributable || !IsForwardable)
    return head_verdict::Reject;
  const steady_time Now = Context.Clock.now();
  Observed.onHead(isSuccess(NewResponse.Status), Now);
  if (tryEscalate(NewResponse))
    return head_verdict::Reject;
  ResponseHead = NewHead;
  Response = NewResponse;
  ResponseBody.clear();
  return head_verdict::Accept;
}

bool relayed_request::tryEscalate(const decoded_response_head &NewResponse) {
  // The VM that a request was forwarded to has chosen the model.
  if (!ModelIndex || !NewResponse.Confidence || Observed.isForwarded() ||
      !isSuccess(NewResponse.Status) || ResponseStarted ||
      Budget.runsLeft() <= 1)
    return false;
  fleet_state &Fleet = Context.Fleet;
  const steady_time Now = Context.Clock.now();
  const milliseconds Backlog = estimatedBacklog(Fleet, Admitted.Service, Now);
  const auto Larger = Fleet.Models.escalate(Route, Request, *ModelIndex,
                                            *NewResponse.Confidence, Backlog);
  const bool IsEscalated =
      Larger && Fleet.Retries.tryConsume(Endpoint->Descriptor.Service, Now);
  const escalation_outcome Outcome = IsEscalated ? escalation_outcome::Escalated
                                     : Larger
                                         ? escalation_outcome::BudgetExhausted
                                         : escalation_outcome::Accepted;
  Logged.onJudged(Model, *NewResponse.Confidence, Backlog, Outcome);
  Context.Metrics.increment("azurehaven_judged_answers_total",
                            IsEscalated ? "outcome=\"escalated\""
                                        : "outcome=\"accepted\"");
  if (!IsEscalated)
    return false;
  SendReason = "escalated";
  ModelIndex = Larger;
  Budget.countRuns(1);
  if (Liveness)
    Liveness->stop();
  Observed.onDropped(Now);
  Tried.erase(Endpoint->Descriptor.Id);
  // The next attempt starts from the event loop, after this one has ended.
  Attempt->cancel();
  asio::post(Context.Executor, [Self = shared_from_this()] {
    if (!Self->IsFinished)
      Self->startNextAttempt();
  });
  return true;
}

void relayed_request::onAttemptResponseBody(std::string Bytes) {
  if (IsFinished)
    return;
  if (Route.Kind == route_kind::Stream && isSuccess(Response.Status))
    return forwardStreamBytes(std::move(Bytes));
  if (!ResponseBody.tryAppend(Bytes)) {
    ResponseBody.clear();
    onAttemptFailed(attempt_failure::NoValidResponse,
                    "the response is too large to buffer");
  }
}

void relayed_request::forwardStreamBytes(std::string Bytes) {
  const steady_time Now = Context.Clock.now();
  const std::uint64_t EventsBefore = Splicer.eventCount();
  const std::string Events = Splicer.add(Bytes);
  if (Liveness && Splicer.eventCount() > EventsBefore)
    Liveness->onProgress(Now);
  if (!Events.empty()) {
    Observed.onEvents(Splicer.eventCount(), Now);
    if (!ResponseStarted) {
      ResponseStarted = true;
      TimeToFirstEvent =
          std::chrono::duration_cast<milliseconds>(Now - Budget.arrivedAt());
      Caller->startResponse(ResponseHead.Status,
                            Context.Codec.forwardedHeaders(ResponseHead));
    }
    Caller->sendChunk(Events);
    if (IsFinished)
      return;
    if (Caller->pendingBytes() > MaxCallerBacklogBytes)
      Attempt->pauseReading();
  }
  if (Splicer.hasOversizedEvent()) {
    Attempt->cancel();
    onAttemptFailed(attempt_failure::NoValidResponse,
                    "the event stream is malformed");
  }
}

void relayed_request::onSendBufferDrained() {
  if (!IsFinished && Attempt)
    Attempt->resumeReading();
}

void relayed_request::onAttemptResponseEnd() {
  if (IsFinished)
    return;
  if (Observed.isForwarded() && isRefusalByVm(Response))
    return retryOrRefuse(attempt_failure::NotExecuted,
                         "the VM refused with status " +
                             std::to_string(Response.Status));
  if (Response.WasNotExecuted || Response.IsMisdirected) {
    if (Response.IsMisdirected)
      Observed.onMisdirected(Context.Clock.now());
    return retryOrRefuse(attempt_failure::NotExecuted,
                         "status " + std::to_string(Response.Status));
  }
  Budget.countRuns(1);
  if (!isSuccess(Response.Status))
    return handleErrorStatus();
  if (const char *Reason = streamBreakReason()) {
    Budget.countRuns(-1); // onAttemptFailed() counts this attempt.
    return onAttemptFailed(attempt_failure::NoValidResponse, Reason);
  }
  Observed.onComplete(Context.Clock.now());
  if (Route.Kind == route_kind::Stream)
    return finishStream();
  Caller->sendResponse(ResponseHead.Status,
                       Context.Codec.forwardedHeaders(ResponseHead),
                       ResponseBody.text());
  finish("answered");
}

const char *relayed_request::streamBreakReason() const {
  if (Route.Kind != route_kind::Stream)
    return nullptr;
  if (Splicer.hasPartialEvent())
    return "the stream ended in the middle of an event";
  // The end of the connection is all that completes such a stream, and it is
  // also what a crash at its beginning looks like. Only a caller that has had
  // events before may get none.
  const bool MayBeEmpty = Request.LastEventId && !ResponseStarted;
  if (isEndedByClose(ResponseHead) && Observed.attemptEvents() == 0 &&
      !MayBeEmpty)
    return "the stream ended before its first event";
  return nullptr;
}

void relayed_request::finishStream() {
  if (!ResponseStarted)
    Caller->startResponse(ResponseHead.Status,
                          Context.Codec.forwardedHeaders(ResponseHead));
  Caller->finishResponse();
  finish("answered");
}

void relayed_request::handleErrorStatus() {
  Observed.onErrorResponse(Response.IsSigned, Context.Clock.now());
  // Another VM has made all the attempts that the route allows.
  const bool MayRetry = !Observed.isForwarded() &&
                        isRetryAllowed(Route, attempt_failure::ErrorResponse) &&
                        Budget.runsLeft() > 0 && !ResponseStarted;
  if (MayRetry)
    return retryOrRefuse(attempt_failure::ErrorResponse,
                         "status " + std::to_string(Response.Status));
  if (ResponseStarted)
    return abortResponse("endpoint_failed");
  forwardErrorResponse();
}

void relayed_request::forwardErrorResponse() {
  const bool ClaimsNotRun = Response.Status == 503 || Response.Status == 429 ||
                            Response.Status == 408 || Response.Status == 421;
  if (ClaimsNotRun || !Response.IsSigned)
    return refuse({502, std::nullopt, "endpoint_failed"});
  Caller->sendResponse(ResponseHead.Status,
                       Context.Codec.forwardedHeaders(ResponseHead),
                       ResponseBody.text());
  finish("endpoint_failed");
}

void relayed_request::onAttemptFailed(attempt_failure Failure,
                                      const std::string &Reason) {
  if (IsFinished)
    return;
  if (Liveness)
    Liveness->stop();
  Attempt->cancel();
  Observed.onFailed(Failure, Context.Clock.now());
  if (mayHaveRun(Failure))
    Budget.countRuns(Observed.isForwarded() ? PeerRuns : 1);
  retryOrRefuse(Failure, Reason);
}

bool relayed_request::mayRetryElsewhere(steady_time Now) const {
  const bool HasTime =
      ResponseStarted ||
      isAdmittedDuringStop(Context.Fleet, Route, Budget.timeLeft(Now), Now);
  // The current attempt counts as executed.
  return HasTime && Budget.runsLeft() > 1 &&
         mayRetryAfter(attempt_failure::Silent, Now);
}

bool relayed_request::canRetryElsewhereNow(steady_time Now) const {
  fleet_state &Fleet = Context.Fleet;
  if (!Fleet.Retries.allowsRetry(Admitted.Service, Now))
    return false;
  // Other VMs may reach an endpoint over a path that is lost here.
  return Fleet.Paths.isLost(Admitted.Service) ||
         placeRequest(Fleet, Admitted, Tried, ModelIndex, Now).Endpoint;
}

attempt_failure relayed_request::failureOfUnresponsive() const {
  // An engine is inspected before it counts as unresponsive; nothing tells
  // whether a plain endpoint still runs.
  return Admitted.isForEngines() ? attempt_failure::Unresponsive
                                 : attempt_failure::Silent;
}

bool relayed_request::mayRetryAfter(attempt_failure Failure,
                                    steady_time Now) const {
  return Budget.allowsRetryAfter(Failure, Now) && !Observed.isQuarantined();
}

retry_decision relayed_request::decideRetry(attempt_failure Failure,
                                            steady_time Now) {
  if (!mayRetryAfter(Failure, Now))
    return retry_decision::NotAllowed;
  if (Failure == attempt_failure::NotSent)
    return retry_decision::NotCounted;
  fleet_state &Fleet = Context.Fleet;
  return Fleet.Retries.tryConsume(Admitted.Service, Now)
             ? retry_decision::Granted
             : retry_decision::BudgetExhausted;
}

void relayed_request::retryOrRefuse(attempt_failure Failure,
                                    const std::string &Reason) {
  const steady_time Now = Context.Clock.now();
  fleet_state &Fleet = Context.Fleet;
  const retry_decision Decision = decideRetry(Failure, Now);
  Logged.onAttemptFailed(
      {Endpoint->Descriptor.Id, Failure, Reason, Budget.sends(), Decision,
       Fleet.Retries.stateOf(Admitted.Service, Now), Fleet.Members.size()});
  if (Decision == retry_decision::Granted ||
      Decision == retry_decision::NotCounted) {
    SendReason = nameOf(Failure);
    if (ResponseStarted)
      Context.Metrics.increment("azurehaven_resumed_streams_total");
    Context.Metrics.increment("azurehaven_repeated_sends_total");
    Splicer.startNextSource();
    return startNextAttempt();
  }
  if (Failure == attempt_failure::ErrorResponse && !ResponseStarted)
    return forwardErrorResponse();
  const bool IsExhausted = Decision == retry_decision::BudgetExhausted;
  refuse(errorResponseFor(
      Budget.mayHaveRun(), IsExhausted ? "retry_budget" : "attempts_failed",
      timeUntilAdmission(Fleet.Endpoints.endpointsOf(Admitted.Service), Now)));
}

void relayed_request::refuse(const error_response &Refusal) {
  if (ResponseStarted)
    return abortResponse(Refusal.Reason);
  Caller->sendResponse(
      Refusal.Status,
      Context.Codec.localResponseHeaders(Request.Id, Refusal.RetryAfter), {});
  finish(Refusal.Reason);
}

void relayed_request::abortResponse(const char *Reason) {
  Caller->abort();
  finish(Reason);
}

void relayed_request::onDeadline() {
  if (IsFinished)
    return;
  if (Attempt) {
    Attempt->cancel();
    // A response that has not started by the deadline counts as a failure of
    // the endpoint's release.
    if (!ResponseStarted)
      Observed.onDeadline(Context.Clock.now());
  }
  refuse(deadlineErrorResponse(Budget.sends() > 0));
}

void relayed_request::endForShutdown() {
  if (IsFinished)
    return;
  if (Attempt)
    Attempt->cancel();
  refuse(errorResponseFor(Budget.sends() > 0, "stopping"));
}

void relayed_request::onCallerDisconnected() {
  if (IsFinished)
    return;
  // Closing the connection lets the endpoint cancel work that has no recipient.
  if (Attempt)
    Attempt->cancel();
  finish("caller_gone");
}

void relayed_request::recordBill() {
  if (!Context.Bills || Admitted.Account.Account.empty())
    return;
  Context.Bills->add(makeBill(Admitted, ModelIndex,
                              Endpoint->Descriptor.Release, Cost,
                              Context.Clock.wallNow(), Context.Fleet.Self));
}

void relayed_request::finish(const char *Outcome) {
  IsFinished = true;
  Deadline.cancel();
  PlacementWait.cancel();
  if (Liveness)
    Liveness->stop();
  const steady_time Now = Context.Clock.now();
  Observed.recordIfSlow(Now);
  const auto Took =
      std::chrono::duration_cast<milliseconds>(Now - Budget.arrivedAt());
  const std::string Labels = std::string("kind=\"") + nameOf(Route.Kind) +
                             "\",outcome=\"" + Outcome + "\"";
  Context.Metrics.increment("azurehaven_requests_total", Labels);
  Context.Metrics.observe("azurehaven_request_ms", Labels, Took);
  const bool IsAnswered = std::string_view(Outcome) == "answered";
  // The VM that a request was forwarded to bills it.
  if (IsAnswered && !Observed.isForwarded())
    recordBill();
  Logged.onFinished(Outcome, IsAnswered, Endpoint.get(), Model, Budget.sends(),
                    TimeToFirstEvent, Took);
  Attempt.reset();
  ResponseBody.clear();
}

} // namespace azurehaven
