#include "LibRelay/relayed_request.h"

#include "LibDispatch/endpoint_health.h"
#include "LibRelay/request_bill.h"
#include "LibRelay/request_placement.h"
#include "LibRelay/stop_admission.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Prompts on small models take a tenth of the time, so admitting them first
/// delays the others little. The default urgency is 5.
constexpr int SmallModelUrgency = 3;
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

admitted_request withEvidence(admitted_request Admitted) {
  Admitted.Evidence = std::make_shared<request_evidence>();
  return Admitted;
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
                                 const request_fingerprint &Fingerprint,
                                 std::shared_ptr<caller_connection> Caller)
    : Context(Context), Head(std::move(Incoming.Head)),
      Body(std::make_shared<const std::string>(std::move(Incoming.Body))),
      BodyMemory(std::move(Incoming.Memory)),
      Admitted(withEvidence(makeAdmittedRequest(std::move(NewRequest),
                                                Context.Fleet.Routes, NewRoute,
                                                Account, Fingerprint))),
      Request(Admitted.Request), Route(*Admitted.Route),
      ToCaller(Context, std::move(Caller)),
      Budget(Admitted, Context.Clock.now()), Deadline(Context.Executor),
      PlacementWait(Context.Executor), Targets(Context, Admitted),
      Model(Context.Fleet, Admitted), Splicer(Request.LastEventId),
      Logged(Context.Log, Admitted) {
  Context.ActiveRequests.insert(this);
}

relayed_request::~relayed_request() { Context.ActiveRequests.erase(this); }

void relayed_request::start(relay_context &Context, incoming_request Incoming,
                            dispatch_request Request, const route &Route,
                            const caller_account &Account,
                            const request_fingerprint &Fingerprint,
                            std::shared_ptr<caller_connection> Caller) {
  std::shared_ptr<relayed_request> Relayed(
      new relayed_request(Context, std::move(Incoming), std::move(Request),
                          Route, Account, Fingerprint, std::move(Caller)));
  Relayed->begin();
}

void relayed_request::begin() {
  ToCaller.setObserver(weak_from_this());
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
  Model.selectFirst(Now);
  // The process may have been suspended since the request arrived, so that the
  // configuration is no longer current.
  if (!isConfigurationCurrent(Now))
    return refuse(
        errorResponseFor(Budget.mayHaveRun(), "configuration_not_confirmed"));
  if (!Budget.allowsSend(liveRuns()))
    return refuse(errorResponseFor(/*MayHaveRun=*/true, "must_not_run_again"));
  // A stream that has begun goes on until the process exits.
  if (!ToCaller.hasStarted() &&
      !isAdmittedDuringStop(Context.Fleet, Route, Budget.timeLeft(Now), Now))
    return refuse(stoppingErrorResponse(Budget.mayHaveRun()));
  const attempt_place Place = Targets.select(Model.current().Index, Now);
  if (!Place.Endpoint)
    return handleMissingEndpoint(Now);
  startAttemptAt(Place, Current);
}

bool relayed_request::isConfigurationCurrent(steady_time Now) const {
  const bool NeedsKey = Admitted.Routes->needsKeys() && !Route.IsPublic;
  return !NeedsKey || Context.Fleet.Confirmation.isCurrent(Now);
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

void relayed_request::startAttemptAt(const attempt_place &Place,
                                     std::shared_ptr<relayed_attempt> &Slot) {
  const steady_time Now = Context.Clock.now();
  const bool IsToVm = Place.Kind == attempt_target::Vm;
  // A peer that breaks off does not tell how often the request has run there,
  // so that it gets a part of the runs and is taken to have used it.
  const int RunsLeft = Budget.runsLeft() - liveRuns();
  const int Runs = IsToVm ? (RunsLeft + 1) / 2 : 1;
  Targets.markTried(Place);
  Budget.countSend();
  std::string EncodedHead = IsToVm ? headForPeer(*Place.Endpoint, Runs, Now)
                                   : headForEndpoint(Place, Now);
  Slot = std::make_shared<relayed_attempt>(Context, Admitted, Place.Kind,
                                           Place.Endpoint, Model.current(),
                                           Runs, weak_from_this());
  Slot->start(outgoing(std::move(EncodedHead)), Splicer.eventCount());
}

std::string relayed_request::headForPeer(const endpoint_record &Peer, int Runs,
                                         steady_time Now) {
  forwarding_parameters Parameters;
  Parameters.Origin = {Context.Fleet.Self, Budget.runs() + liveRuns(), Runs};
  Parameters.TimeLeft = Budget.timeLeft(Now);
  Parameters.ResumeAfter = Splicer.lastEventId();
  Parameters.BodySize = Body->size();
  Logged.onForwarded(Peer.Descriptor.Id, Budget.sends(), SendReason,
                     Parameters.TimeLeft);
  Context.Metrics.increment("azurehaven_forwarded_requests_total");
  return Context.Codec.encodeForwardedHead(Head, Parameters);
}

std::string relayed_request::headForEndpoint(const attempt_place &Place,
                                             steady_time Now) {
  const endpoint_record &Target = *Place.Endpoint;
  attempt_parameters Parameters;
  Parameters.Endpoint = Target.Descriptor.Id;
  Parameters.Address = Target.Descriptor.Address;
  Parameters.Account = Admitted.Account.Account;
  Parameters.TimeLeft = Budget.timeLeft(Now);
  if (Model.isSelected())
    Parameters.Model = Model.current().Id;
  if (ToCaller.hasStarted())
    Parameters.Urgency = ContinuationUrgency;
  else if (Model.isSmall())
    Parameters.Urgency = SmallModelUrgency;
  Parameters.ResumeAfter = Splicer.lastEventId();
  Parameters.BodySize = Body->size();
  Logged.onReleaseChosen(Place.Placement, Budget.sends(), Now);
  Logged.onSent(Target, Model.current().Id, Budget.sends(), SendReason,
                Parameters.TimeLeft);
  Cost += attemptCost(Admitted, Model.current().Index);
  return Context.Codec.encodeRequestHead(Head, Request, Parameters);
}

outgoing_request relayed_request::outgoing(std::string EncodedHead) const {
  outgoing_request Outgoing;
  Outgoing.Head = std::move(EncodedHead);
  Outgoing.Body = Body;
  Outgoing.IsHead = Head.Method == "HEAD";
  return Outgoing;
}

int relayed_request::liveRuns() const {
  int Runs = 0;
  for (const auto &Attempt : {Current, Hedge})
    if (Attempt && Attempt->isRunning())
      Runs += Attempt->runs();
  return Runs;
}

void relayed_request::onAttemptSilent(relayed_attempt &Attempt,
                                      const std::string &Reason) {
  // A request that can't be retried is not ended merely because its endpoint
  // is unresponsive: it may still respond.
  const steady_time Now = Context.Clock.now();
  if (!mayRetryElsewhere(Now))
    return;
  if (&Attempt != Hedge.get())
    return hedge(Reason, Now);
  if (!canRetryElsewhereNow(Now))
    return Attempt.startMonitor();
  onAttemptFailed(Attempt, Attempt.failureOfSilent(), Reason);
}

void relayed_request::hedge(const std::string &Reason, steady_time Now) {
  SilenceReason = Reason;
  const attempt_place Place = placeOfHedge(Now);
  const bool IsGranted =
      Place.Endpoint && Context.Fleet.Retries.tryConsume(Admitted.Service, Now);
  if (!IsGranted)
    return Current->startMonitor();
  Logged.onHedged(Current->endpoint().Descriptor.Id, Reason);
  startHedge(Place);
}

void relayed_request::startHedge(const attempt_place &Place) {
  SendReason = "hedge";
  Context.Metrics.increment("azurehaven_repeated_sends_total");
  startAttemptAt(Place, Hedge);
}

void relayed_request::takeOver() {
  const auto Silent = std::exchange(Current, std::exchange(Hedge, nullptr));
  const attempt_failure Failure = Silent->failureOfSilent();
  Silent->observed().onFailed(Failure, Context.Clock.now());
  Silent->cancel();
  Budget.countRuns(Silent->runs());
  logFailure(*Silent, Failure, SilenceReason, retry_decision::Hedged);
  Logged.onHedgeDecided(Current->endpoint().Descriptor.Id,
                        Silent->endpoint().Descriptor.Id, "hedge_began");
  resumeAtNextSource();
}

void relayed_request::dropHedge() {
  const auto Dropped = std::exchange(Hedge, nullptr);
  if (!Dropped)
    return;
  Dropped->cancel();
  Dropped->observed().recordIfSlow(Context.Clock.now());
  Budget.countRuns(Dropped->runs());
  Logged.onHedgeDecided(Current->endpoint().Descriptor.Id,
                        Dropped->endpoint().Descriptor.Id, "first_went_on");
  Current->startMonitor();
}

void relayed_request::replaceHedge(attempt_failure Failure,
                                   const std::string &Reason) {
  const steady_time Now = Context.Clock.now();
  const auto Failed = std::exchange(Hedge, nullptr);
  const attempt_place Place = placeOfHedge(Now);
  const retry_decision Decision = !mayRetryElsewhere(Now)
                                      ? retry_decision::NotAllowed
                                  : !Place.Endpoint ? retry_decision::NoEndpoint
                                                    : decideRetry(Failure, Now);
  logFailure(*Failed, Failure, Reason, Decision);
  if (isGranted(Decision))
    return startHedge(Place);
  // The silent attempt is awaited.
  Current->startMonitor();
}

void relayed_request::resumeAtNextSource() {
  if (ToCaller.hasStarted())
    Context.Metrics.increment("azurehaven_resumed_streams_total");
  Splicer.startNextSource();
}

void relayed_request::recordIfSlow(steady_time Now) {
  for (const auto &Attempt : {Current, Hedge})
    if (Attempt)
      Attempt->observed().recordIfSlow(Now);
}

void relayed_request::refreshSessionPin(steady_time Now) {
  if (Current)
    Current->observed().refreshSessionPin(Now);
}

head_verdict relayed_request::onAttemptResponseHead(
    relayed_attempt &Attempt, const response_head &NewHead,
    const decoded_response_head &NewResponse) {
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
  Attempt.observed().onHead(isSuccess(NewResponse.Status), Now);
  if (isSuccess(NewResponse.Status) && Hedge)
    &Attempt == Hedge.get() ? takeOver() : dropHedge();
  if (tryEscalate(Attempt, NewResponse))
    return head_verdict::Reject;
  Attempt.acceptHead(NewHead, NewResponse);
  return head_verdict::Accept;
}

bool relayed_request::tryEscalate(relayed_attempt &Attempt,
                                  const decoded_response_head &NewResponse) {
  // The VM that a request was forwarded to has chosen the model.
  if (!Model.isSelected() || !NewResponse.Confidence || Attempt.isForwarded() ||
      !isSuccess(NewResponse.Status) || ToCaller.hasStarted() ||
      !Budget.allowsRerun())
    return false;
  const steady_time Now = Context.Clock.now();
  const milliseconds Backlog = Model.backlog(Now);
  const auto Larger = Model.largerModelFor(*NewResponse.Confidence, Backlog);
  const escalation_outcome Outcome = decideEscalation(Attempt, Larger, Now);
  const bool IsEscalated = Outcome == escalation_outcome::Escalated;
  Logged.onJudged(Model.current().Id, *NewResponse.Confidence, Backlog,
                  Outcome);
  Context.Metrics.increment("azurehaven_judged_answers_total",
                            IsEscalated ? "outcome=\"escalated\""
                                        : "outcome=\"accepted\"");
  if (!IsEscalated)
    return false;
  SendReason = "escalated";
  Model.select(*Larger);
  Budget.countRuns(1);
  Attempt.observed().onDropped(Now);
  Targets.allowAgain(Attempt.endpoint().Descriptor.Id);
  // The next attempt starts from the event loop, after this one has ended.
  Attempt.cancel();
  asio::post(Context.Executor, [Self = shared_from_this()] {
    if (!Self->IsFinished)
      Self->startNextAttempt();
  });
  return true;
}

escalation_outcome
relayed_request::decideEscalation(const relayed_attempt &Attempt,
                                  std::optional<std::size_t> Larger,
                                  steady_time Now) {
  if (!Larger)
    return escalation_outcome::Accepted;
  const bool HasTime =
      isAdmittedDuringStop(Context.Fleet, Route, Budget.timeLeft(Now), Now);
  attempt_targets NextTargets = Targets;
  NextTargets.allowAgain(Attempt.endpoint().Descriptor.Id);
  if (!HasTime || !isConfigurationCurrent(Now) ||
      !NextTargets.select(Larger, Now).Endpoint)
    return escalation_outcome::NoEndpoint;
  return Context.Fleet.Retries.tryConsume(Admitted.Service, Now)
             ? escalation_outcome::Escalated
             : escalation_outcome::BudgetExhausted;
}

void relayed_request::onAttemptResponseBody(relayed_attempt &Attempt,
                                            std::string Bytes) {
  if (IsFinished)
    return;
  if (Route.Kind == route_kind::Stream && isSuccess(Attempt.response().Status))
    return forwardStreamBytes(Attempt, std::move(Bytes));
  if (!Attempt.responseBody().tryAppend(Bytes)) {
    Attempt.responseBody().clear();
    onAttemptFailed(Attempt, attempt_failure::Malformed,
                    "the response is too large to buffer");
  }
}

void relayed_request::forwardStreamBytes(relayed_attempt &Attempt,
                                         std::string Bytes) {
  const steady_time Now = Context.Clock.now();
  const std::uint64_t EventsBefore = Splicer.eventCount();
  const std::string Events = Splicer.add(Bytes);
  if (Splicer.eventCount() > EventsBefore) {
    dropHedge();
    Attempt.onProgress(Now);
  }
  if (!Events.empty()) {
    Attempt.observed().onEvents(Splicer.eventCount(), Now);
    ToCaller.sendEvents(Attempt.responseHead(), Events, Now);
    if (IsFinished)
      return;
    if (ToCaller.isBacklogged())
      Attempt.pauseReading();
  }
  const bool HasRoom = Attempt.tryBufferEvent(Splicer.bufferedBytes());
  if (!HasRoom || Splicer.hasOversizedEvent()) {
    onAttemptFailed(Attempt, attempt_failure::Malformed,
                    HasRoom ? "the event stream is malformed"
                            : "no memory to buffer the event");
  }
}

void relayed_request::onSendBufferDrained() {
  if (!IsFinished && Current)
    Current->resumeReading();
}

void relayed_request::onAttemptResponseEnd(relayed_attempt &Attempt) {
  if (IsFinished)
    return;
  const decoded_response_head &Response = Attempt.response();
  if (Attempt.isForwarded() && isRefusalByVm(Response))
    return retryOrRefuse(Attempt, attempt_failure::NotExecuted,
                         "the VM refused with status " +
                             std::to_string(Response.Status));
  if (Response.WasNotExecuted || Response.IsMisdirected) {
    if (Response.IsMisdirected)
      Attempt.observed().onMisdirected(Context.Clock.now());
    return retryOrRefuse(Attempt, attempt_failure::NotExecuted,
                         "status " + std::to_string(Response.Status));
  }
  if (!isSuccess(Response.Status))
    return handleErrorStatus(Attempt);
  if (const char *Reason = streamBreakReason(Attempt))
    return onAttemptFailed(Attempt, attempt_failure::NoValidResponse, Reason);
  dropHedge();
  Budget.countRuns(1);
  Attempt.observed().onComplete(Context.Clock.now());
  if (Route.Kind == route_kind::Stream)
    ToCaller.finishStream(Attempt.responseHead());
  else
    ToCaller.sendWhole(Attempt.responseHead(), Attempt.responseBody().text());
  finish("answered");
}

const char *
relayed_request::streamBreakReason(const relayed_attempt &Attempt) const {
  if (Route.Kind != route_kind::Stream)
    return nullptr;
  if (Splicer.hasPartialEvent())
    return "the stream ended in the middle of an event";
  // The end of the connection is all that completes such a stream, and it is
  // also what a crash at its beginning looks like. Only a caller that has had
  // events before may get none.
  const bool MayBeEmpty = Request.LastEventId && !ToCaller.hasStarted();
  if (isEndedByClose(Attempt.responseHead()) &&
      Attempt.observed().attemptEvents() == 0 && !MayBeEmpty)
    return "the stream ended before its first event";
  return nullptr;
}

void relayed_request::handleErrorStatus(relayed_attempt &Attempt) {
  const decoded_response_head &Response = Attempt.response();
  Budget.countRuns(1);
  Attempt.observed().onErrorResponse(Response.IsSigned, Context.Clock.now());
  // Another VM has made all the attempts that the route allows.
  const bool MayRetry = !Attempt.isForwarded() &&
                        isRetryAllowed(Route, attempt_failure::ErrorResponse) &&
                        Budget.runsLeft() > 0 && !ToCaller.hasStarted();
  if (MayRetry || Hedge)
    return retryOrRefuse(Attempt, attempt_failure::ErrorResponse,
                         "status " + std::to_string(Response.Status));
  if (ToCaller.hasStarted())
    return abortResponse("endpoint_failed");
  forwardErrorResponse(Attempt);
}

void relayed_request::forwardErrorResponse(relayed_attempt &Attempt) {
  const decoded_response_head &Response = Attempt.response();
  const bool ClaimsNotRun = Response.Status == 503 || Response.Status == 429 ||
                            Response.Status == 408 || Response.Status == 421;
  if (ClaimsNotRun || !Response.IsSigned)
    return refuse({502, std::nullopt, "endpoint_failed"});
  ToCaller.sendWhole(Attempt.responseHead(), Attempt.responseBody().text());
  finish("endpoint_failed");
}

void relayed_request::onAttemptFailed(relayed_attempt &Attempt,
                                      attempt_failure Failure,
                                      const std::string &Reason) {
  if (IsFinished)
    return;
  Attempt.observed().onFailed(Failure, Context.Clock.now());
  Attempt.cancel();
  if (mayHaveRun(Failure))
    Budget.countRuns(Attempt.runs());
  retryOrRefuse(Attempt, Failure, Reason);
}

bool relayed_request::mayRetryElsewhere(steady_time Now) const {
  const bool HasTime =
      ToCaller.hasStarted() ||
      isAdmittedDuringStop(Context.Fleet, Route, Budget.timeLeft(Now), Now);
  return HasTime && Budget.runsLeft() > liveRuns() &&
         mayRetryAfter(attempt_failure::Silent, Now);
}

bool relayed_request::canRetryElsewhereNow(steady_time Now) const {
  return Context.Fleet.Retries.allowsRetry(Admitted.Service, Now) &&
         placeOfHedge(Now).Endpoint;
}

attempt_place relayed_request::placeOfHedge(steady_time Now) const {
  const bool IsAllowed =
      isConfigurationCurrent(Now) && Budget.allowsSend(liveRuns());
  return IsAllowed ? Targets.select(Model.current().Index, Now)
                   : attempt_place();
}

bool relayed_request::mayRetryAfter(attempt_failure Failure,
                                    steady_time Now) const {
  return Budget.allowsRetryAfter(Failure, Now) &&
         !(Current && Current->observed().isQuarantined());
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

void relayed_request::logFailure(const relayed_attempt &Attempt,
                                 attempt_failure Failure,
                                 const std::string &Reason,
                                 retry_decision Decision) {
  fleet_state &Fleet = Context.Fleet;
  Logged.onAttemptFailed(
      {Attempt.endpoint().Descriptor.Id, Failure, Reason, Budget.sends(),
       Decision, Fleet.Retries.stateOf(Admitted.Service, Context.Clock.now()),
       Fleet.Members.size()});
}

void relayed_request::retryOrRefuse(relayed_attempt &Attempt,
                                    attempt_failure Failure,
                                    const std::string &Reason) {
  if (&Attempt == Hedge.get())
    return replaceHedge(Failure, Reason);
  if (Hedge) {
    logFailure(Attempt, Failure, Reason, retry_decision::Hedged);
    Current = std::exchange(Hedge, nullptr);
    return resumeAtNextSource();
  }
  const steady_time Now = Context.Clock.now();
  const retry_decision Decision = decideRetry(Failure, Now);
  logFailure(Attempt, Failure, Reason, Decision);
  if (isGranted(Decision)) {
    SendReason = nameOf(Failure);
    Context.Metrics.increment("azurehaven_repeated_sends_total");
    resumeAtNextSource();
    return startNextAttempt();
  }
  if (Failure == attempt_failure::ErrorResponse && !ToCaller.hasStarted())
    return forwardErrorResponse(Attempt);
  const bool IsExhausted = Decision == retry_decision::BudgetExhausted;
  refuse(errorResponseFor(
      Budget.mayHaveRun(), IsExhausted ? "retry_budget" : "attempts_failed",
      timeUntilAdmission(Context.Fleet.Endpoints.endpointsOf(Admitted.Service),
                         Now)));
}

void relayed_request::refuse(const error_response &Refusal) {
  if (ToCaller.hasStarted())
    return abortResponse(Refusal.Reason);
  ToCaller.sendError(Request.Id, Refusal);
  finish(Refusal.Reason);
}

void relayed_request::abortResponse(const char *Reason) {
  ToCaller.abort();
  finish(Reason);
}

void relayed_request::onDeadline() {
  if (IsFinished)
    return;
  cancelAttempts();
  // A response that has not started by the deadline counts as a failure of the
  // endpoint's release.
  if (Current && !ToCaller.hasStarted())
    Current->observed().onDeadline(Context.Clock.now());
  refuse(deadlineErrorResponse(Budget.sends() > 0));
}

void relayed_request::endForShutdown() {
  if (IsFinished)
    return;
  cancelAttempts();
  refuse(errorResponseFor(Budget.sends() > 0, "stopping"));
}

void relayed_request::onCallerDisconnected() {
  if (IsFinished)
    return;
  // Closing the connection lets the endpoint cancel work that has no recipient.
  cancelAttempts();
  finish("caller_gone");
}

void relayed_request::cancelAttempts() {
  for (const auto &Attempt : {Current, Hedge})
    if (Attempt)
      Attempt->cancel();
}

void relayed_request::recordBill() {
  if (!Context.Bills || Admitted.Account.Account.empty())
    return;
  Context.Bills->add(makeBill(Admitted, Model.current().Index,
                              Current->endpoint().Descriptor.Release, Cost,
                              Context.Clock.wallNow(), Context.Fleet.Self));
}

std::optional<milliseconds> relayed_request::timeToFirstEvent() const {
  if (!ToCaller.hasStarted())
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(*ToCaller.firstEventAt() -
                                                  Budget.arrivedAt());
}

void relayed_request::finish(const char *Outcome) {
  IsFinished = true;
  Deadline.cancel();
  PlacementWait.cancel();
  const steady_time Now = Context.Clock.now();
  if (Current)
    Current->stopMonitor();
  if (Hedge)
    Hedge->cancel();
  recordIfSlow(Now);
  Admitted.Evidence->countFailures(Context.Fleet.ReleaseStatistics.evidence(),
                                   Now);
  const auto Took =
      std::chrono::duration_cast<milliseconds>(Now - Budget.arrivedAt());
  const std::string Labels = std::string("kind=\"") + nameOf(Route.Kind) +
                             "\",outcome=\"" + Outcome + "\"";
  Context.Metrics.increment("azurehaven_requests_total", Labels);
  Context.Metrics.observe("azurehaven_request_ms", Labels, Took);
  const bool IsAnswered = std::string_view(Outcome) == "answered";
  // The VM that a request was forwarded to bills it.
  if (IsAnswered && !Current->isForwarded())
    recordBill();
  Logged.onFinished(
      Outcome, IsAnswered, Current ? &Current->endpoint() : nullptr,
      Model.current().Id, Budget.sends(), timeToFirstEvent(), Took);
  Current.reset();
  Hedge.reset();
}

} // namespace azurehaven
