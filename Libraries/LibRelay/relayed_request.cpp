#include "LibRelay/relayed_request.h"

#include "LibDispatch/endpoint_health.h"
#include "LibRelay/request_bill.h"
#include "LibRelay/request_placement.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// For requests whose caller and route give no limit.
constexpr milliseconds DefaultTimeLimit{30000};
/// Kept back from the caller's deadline, so that the answer reaches it in time.
constexpr milliseconds AnswerTravel{20};
/// Sends of one request beyond the runs that its route allows: refusals by
/// full endpoints cost little.
constexpr int ExtraSends = 2;
/// Bytes that may wait for a slow caller before its endpoint is held back.
constexpr std::size_t CallerBacklog = 256 << 10;
/// Answers that are kept whole before they are passed on.
constexpr std::size_t WholeAnswerLimit = 8 << 20;
/// Prompts of small models take a tenth of the time: letting them pass holds
/// the others up little. The usual urgency is 5.
constexpr int SmallModelUrgency = 3;
/// A caller is in the middle of this answer.
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

milliseconds limitOf(const dispatch_request &Request, const route &Route) {
  milliseconds Limit =
      Route.Timeout.count() > 0 ? Route.Timeout : DefaultTimeLimit;
  if (Request.Deadline)
    Limit = std::min(Limit, *Request.Deadline - AnswerTravel);
  return std::max(Limit, milliseconds(1));
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
      Subject(makeAdmittedRequest(std::move(NewRequest), Context.Fleet.Routes,
                                  NewRoute, Account, Fingerprint)),
      Request(Subject.Request), Route(*Subject.Route),
      Caller(std::move(Caller)), ArrivedAt(Context.Clock.now()),
      TimeLimit(limitOf(Request, Route)), Deadline(Context.Executor),
      Splicer(Request.LastEventId) {
  Context.ActiveRequests.insert(this);
}

relayed_request::~relayed_request() { Context.ActiveRequests.erase(this); }

void relayed_request::start(relay_context &Context, incoming_request Incoming,
                            dispatch_request Request, const route &Route,
                            const caller_account &Account,
                            std::uint64_t Fingerprint,
                            std::shared_ptr<caller_connection> Caller) {
  std::shared_ptr<relayed_request> Run(
      new relayed_request(Context, std::move(Incoming), std::move(Request),
                          Route, Account, Fingerprint, std::move(Caller)));
  Run->begin();
}

void relayed_request::begin() {
  Caller->setObserver(weak_from_this());
  Deadline.expires_after(TimeLimit);
  Deadline.async_wait(
      [Self = shared_from_this()](const asio::error_code &Code) {
        if (!Code)
          Self->onDeadline();
      });
  Context.Fleet.Retries.recordRequest(Subject.Service, ArrivedAt);
  sendNext();
}

milliseconds relayed_request::timeLeft(steady_time Now) const {
  return TimeLimit - std::chrono::duration_cast<milliseconds>(Now - ArrivedAt);
}

void relayed_request::sendNext() {
  const steady_time Now = Context.Clock.now();
  if (Request.acceptsAnyModel() && !Route.ModelsBySize.empty()) {
    if (!ModelIndex)
      ModelIndex = Context.Fleet.Models.firstModel(Route, Request);
    Model = Route.ModelsBySize[*ModelIndex];
  }
  const auto Target =
      placeRequest(Context.Fleet, Subject, Tried, ModelIndex, Now);
  if (!Target)
    return refuse(errorResponseFor(Runs > 0, "no_endpoint"));
  // A freeze may lie between the arrival of the request and this moment.
  const bool NeedsKey = Subject.Routes->needsKeys() && !Route.IsPublic;
  if (NeedsKey && !Context.Fleet.Confirmation.isCurrent(Now))
    return refuse(errorResponseFor(Runs > 0, "configuration_not_confirmed"));
  sendTo(Target);
}

void relayed_request::sendTo(const std::shared_ptr<endpoint_record> &Target) {
  const steady_time Now = Context.Clock.now();
  Endpoint = Target;
  Tried.insert(Target->Descriptor.Id);
  ++Sends;
  attempt_parameters Send;
  Send.Endpoint = Target->Descriptor.Id;
  Send.Address = Target->Descriptor.Address;
  Send.Account = Subject.Account.Account;
  Send.TimeLeft = timeLeft(Now);
  if (Request.acceptsAnyModel() && !Model.empty())
    Send.Model = Model;
  if (AnswerStarted)
    Send.Urgency = ContinuationUrgency;
  else if (ModelIndex && *ModelIndex + 1 < Route.ModelsBySize.size())
    Send.Urgency = SmallModelUrgency;
  Send.ResumeAfter = Splicer.lastEventId();
  Send.BodySize = Body->size();
  Context.Log.write(log_level::Info, "request_sent",
                    {{"request", Request.Id.text()},
                     {"route", Route.Name},
                     {"endpoint", Target->Descriptor.Id.text()},
                     {"release", Target->Descriptor.Release},
                     {"model", Model.text()},
                     {"send", std::to_string(Sends)},
                     {"in_flight", std::to_string(Target->InFlight)},
                     {"time_left_ms", std::to_string(Send.TimeLeft.count())}});
  const double OwnWork =
      promptWorkOn(Context.Fleet, Subject, ModelIndex, *Target, Now);
  WorkAhead = pendingPromptWork(*Target) + OwnWork;
  Attempt = std::make_shared<endpoint_attempt>(
      Context, Target, Request.Id, OwnWork,
      std::weak_ptr<attempt_observer>(shared_from_this()));
  outgoing_request Outgoing;
  Outgoing.Head = Context.Codec.encodeRequestHead(Head, Request, Send);
  Outgoing.Body = Body;
  Outgoing.IsHead = Head.Method == "HEAD";
  Timing.onSent(Now, Splicer.eventCount());
  Cost += attemptCost(Subject, ModelIndex);
  recordSend(Context.Fleet, Subject, ModelIndex, *Target, Now);
  Attempt->start(std::move(Outgoing), Route.allowsReexecution()
                                          ? connection_trust::AnyIdle
                                          : connection_trust::SurelyOpen);
  if (Route.allowsReexecution())
    watchLiveness();
}

void relayed_request::watchLiveness() {
  Liveness = std::make_shared<liveness_monitor>(
      Context, Endpoint, Request.Id, Subject.isForEngines(),
      [Weak = weak_from_this()](const std::string &Reason) {
        auto Self = Weak.lock();
        // Silence alone is no reason to end a request that can't go elsewhere;
        // the present run counts as one then.
        if (Self && Self->Runs + 1 < Self->Route.MaxAttempts &&
            Self->maySendAgainAfter(attempt_failure::NoValidResponse,
                                    Self->Context.Clock.now()))
          Self->onAttemptFailed(attempt_failure::NoValidResponse, Reason);
      });
  Liveness->start();
}

void relayed_request::record(bool Failed) {
  const steady_time Now = Context.Clock.now();
  attempt_result Outcome;
  Outcome.Failed = Failed;
  Outcome.PaceMs = Timing.paceMs(Route.Kind, Failed, Splicer.eventCount(), Now);
  recordAttemptResult(Context.Fleet, Endpoint->Descriptor, Route, Model,
                      Outcome, Now);
}

head_verdict
relayed_request::onAttemptResponseHead(const response_head &NewHead,
                                       const decoded_response_head &NewAnswer) {
  if (Over)
    return head_verdict::Reject;
  const bool Belongs =
      NewAnswer.EchoedRequestId || !isSuccess(NewAnswer.Status);
  const bool IsProper = !isSuccess(NewAnswer.Status) ||
                        (NewAnswer.IsSigned && !NewAnswer.HasContentEncoding);
  if (!Belongs || !IsProper)
    return head_verdict::Reject;
  if (ModelIndex && isSuccess(NewAnswer.Status))
    Context.Fleet.PromptPace.add(WorkAhead,
                                 Timing.msSinceSent(Context.Clock.now()));
  if (escalates(NewAnswer))
    return head_verdict::Reject;
  AnswerHead = NewHead;
  Answer = NewAnswer;
  AnswerBody.clear();
  return head_verdict::Accept;
}

bool relayed_request::escalates(const decoded_response_head &NewAnswer) {
  if (!ModelIndex || !NewAnswer.Confidence || !isSuccess(NewAnswer.Status) ||
      AnswerStarted || Runs + 1 >= Route.MaxAttempts)
    return false;
  fleet_state &Fleet = Context.Fleet;
  const steady_time Now = Context.Clock.now();
  const milliseconds Backlog = estimatedBacklog(Fleet, Subject.Service, Now);
  const auto Larger = Fleet.Models.escalate(Route, Request, *ModelIndex,
                                            *NewAnswer.Confidence, Backlog);
  Context.Log.write(log_level::Info, "answer_judged",
                    {{"request", Request.Id.text()},
                     {"route", Route.Name},
                     {"model", Model.text()},
                     {"confidence", std::to_string(*NewAnswer.Confidence)},
                     {"backlog_ms", std::to_string(Backlog.count())},
                     {"outcome", Larger ? "escalated" : "accepted"}});
  Context.Metrics.increment("azurehaven_judged_answers_total",
                            Larger ? "outcome=\"escalated\""
                                   : "outcome=\"accepted\"");
  if (!Larger)
    return false;
  if (!Context.Fleet.Retries.tryConsume(Endpoint->Descriptor.Service,
                                        Context.Fleet.Members.size(),
                                        Context.Clock.now()))
    return false;
  ModelIndex = Larger;
  ++Runs;
  recordSuccess(*Endpoint);
  if (Liveness)
    Liveness->stop();
  record(false);
  Tried.erase(Endpoint->Descriptor.Id);
  // The attempt ends first; the next one starts from the event loop.
  Attempt->cancel();
  asio::post(Context.Executor, [Self = shared_from_this()] {
    if (!Self->Over)
      Self->sendNext();
  });
  return true;
}

void relayed_request::onAttemptResponseBody(std::string Bytes) {
  if (Over)
    return;
  if (Route.Kind == route_kind::Stream && isSuccess(Answer.Status))
    return passOnStream(std::move(Bytes));
  AnswerBody += Bytes;
  if (AnswerBody.size() > WholeAnswerLimit) {
    Attempt->cancel();
    onAttemptFailed(attempt_failure::NoValidResponse,
                    "the answer is too large");
  }
}

void relayed_request::passOnStream(std::string Bytes) {
  const steady_time Now = Context.Clock.now();
  const std::string Events = Splicer.add(Bytes);
  if (Liveness)
    Liveness->onBytesReceived(Now);
  if (!Events.empty()) {
    Timing.onEvents(Now);
    if (!AnswerStarted) {
      AnswerStarted = true;
      FirstEventAfter =
          std::chrono::duration_cast<milliseconds>(Now - ArrivedAt);
      Caller->startAnswer(AnswerHead.Status,
                          Context.Codec.forwardedHeaders(AnswerHead));
    }
    Caller->sendPiece(Events);
    if (Over)
      return;
    if (Caller->pendingBytes() > CallerBacklog)
      Attempt->pauseReading();
  }
  if (Splicer.hasOversizedEvent()) {
    Attempt->cancel();
    onAttemptFailed(attempt_failure::NoValidResponse, "malformed events");
  }
}

void relayed_request::onCallerDrained() {
  if (!Over && Attempt)
    Attempt->resumeReading();
}

void relayed_request::onAttemptResponseEnd() {
  if (Over)
    return;
  if (Answer.WasNotExecuted || Answer.IsMisdirected) {
    if (Answer.IsMisdirected)
      recordIdentityMismatch(*Endpoint, Context.Clock.now());
    return retryOrRefuse(attempt_failure::NotExecuted,
                         "status " + std::to_string(Answer.Status));
  }
  ++Runs;
  if (!isSuccess(Answer.Status))
    return passOnFailure();
  if (Route.Kind == route_kind::Stream && Splicer.hasPartialEvent()) {
    --Runs; // Counted below.
    return onAttemptFailed(attempt_failure::NoValidResponse, "cut in an event");
  }
  recordSuccess(*Endpoint);
  Context.Fleet.Quarantine.clear(Subject.Fingerprint);
  record(false);
  refreshSessionPin(Context.Fleet, Subject, *Endpoint, Context.Clock.now());
  if (Route.Kind == route_kind::Stream)
    return passOnWhole();
  Caller->sendAnswer(AnswerHead.Status,
                     Context.Codec.forwardedHeaders(AnswerHead), AnswerBody);
  finish("answered");
}

void relayed_request::passOnWhole() {
  if (!AnswerStarted)
    Caller->startAnswer(AnswerHead.Status,
                        Context.Codec.forwardedHeaders(AnswerHead));
  Caller->finishAnswer();
  finish("answered");
}

void relayed_request::passOnFailure() {
  recordErrorResponse(*Endpoint, Context.Clock.now());
  record(true);
  const bool MaySend = isRetryAllowed(Route, attempt_failure::ErrorResponse) &&
                       Runs < Route.MaxAttempts && !AnswerStarted;
  if (MaySend)
    return retryOrRefuse(attempt_failure::ErrorResponse,
                         "status " + std::to_string(Answer.Status));
  if (AnswerStarted)
    return breakOff("endpoint_failed");
  passOnOwnFailure();
}

void relayed_request::passOnOwnFailure() {
  const bool ClaimsNotRun = Answer.Status == 503 || Answer.Status == 429 ||
                            Answer.Status == 408 || Answer.Status == 421;
  if (ClaimsNotRun || !Answer.IsSigned)
    return refuse({502, std::nullopt, "endpoint_failed"});
  Caller->sendAnswer(AnswerHead.Status,
                     Context.Codec.forwardedHeaders(AnswerHead), AnswerBody);
  finish("endpoint_failed");
}

void relayed_request::onAttemptFailed(attempt_failure Failure,
                                      const std::string &Reason) {
  if (Over)
    return;
  if (Liveness)
    Liveness->stop();
  Attempt->cancel();
  const steady_time Now = Context.Clock.now();
  recordFailure(*Endpoint, Now);
  if (Failure == attempt_failure::NoValidResponse) {
    ++Runs;
    if (recordCrash(*Endpoint, Now))
      record(true);
    Context.Fleet.Quarantine.addLocal(
        Subject.Fingerprint,
        endpoint_id(Endpoint->Descriptor.Id.text() + "/" +
                    std::to_string(Endpoint->Descriptor.Incarnation)),
        Now);
  }
  retryOrRefuse(Failure, Reason);
}

bool relayed_request::maySendAgainAfter(attempt_failure Failure,
                                        steady_time Now) const {
  return isRetryAllowed(Route, Failure) && Runs < Route.MaxAttempts &&
         Sends < Route.MaxAttempts + ExtraSends &&
         !Context.Fleet.Quarantine.isQuarantined(Subject.Fingerprint) &&
         timeLeft(Now).count() > 0;
}

void relayed_request::retryOrRefuse(attempt_failure Failure,
                                    const std::string &Reason) {
  const steady_time Now = Context.Clock.now();
  Context.Log.write(log_level::Warning, "attempt_failed",
                    {{"request", Request.Id.text()},
                     {"endpoint", Endpoint->Descriptor.Id.text()},
                     {"reason", Reason},
                     {"may_have_run", mayHaveRun(Failure) ? "yes" : "no"},
                     {"sends", std::to_string(Sends)}});
  const bool IsAllowed = maySendAgainAfter(Failure, Now);
  const bool HasBudget =
      IsAllowed &&
      (Failure == attempt_failure::NotSent ||
       Context.Fleet.Retries.tryConsume(Endpoint->Descriptor.Service,
                                        Context.Fleet.Members.size(), Now));
  if (HasBudget) {
    if (AnswerStarted)
      Context.Metrics.increment("azurehaven_resumed_streams_total");
    Context.Metrics.increment("azurehaven_repeated_sends_total");
    Splicer.startNextSource();
    return sendNext();
  }
  if (Failure == attempt_failure::ErrorResponse && !AnswerStarted)
    return passOnOwnFailure();
  refuse(errorResponseFor(Runs > 0,
                          IsAllowed ? "retry_budget" : "attempts_failed"));
}

void relayed_request::refuse(const error_response &Refusal) {
  if (AnswerStarted)
    return breakOff(Refusal.Reason);
  Caller->sendAnswer(
      Refusal.Status,
      Context.Codec.localResponseHeaders(Request.Id, Refusal.RetryAfter), {});
  finish(Refusal.Reason);
}

void relayed_request::breakOff(const char *Reason) {
  Caller->abort();
  finish(Reason);
}

void relayed_request::onDeadline() {
  if (Over)
    return;
  if (Attempt) {
    Attempt->cancel();
    // A stream that never began says that its release is slow.
    if (!AnswerStarted)
      record(true);
  }
  refuse(deadlineErrorResponse(Sends > 0));
}

void relayed_request::endForShutdown() {
  if (Over)
    return;
  if (Attempt)
    Attempt->cancel();
  refuse(errorResponseFor(Sends > 0, "stopping"));
}

void relayed_request::onCallerGone() {
  if (Over)
    return;
  // The endpoint sees its connection close: nobody waits for the work.
  if (Attempt)
    Attempt->cancel();
  finish("caller_gone");
}

void relayed_request::bill() {
  if (!Context.Bills || Subject.Account.Account.empty())
    return;
  Context.Bills->add(makeBill(Subject, ModelIndex, Endpoint->Descriptor.Release,
                              Cost, Context.Clock.wallNow(),
                              Context.Fleet.Self));
}

void relayed_request::finish(const char *Outcome) {
  Over = true;
  Deadline.cancel();
  if (Liveness)
    Liveness->stop();
  const steady_time Now = Context.Clock.now();
  const auto Took = std::chrono::duration_cast<milliseconds>(Now - ArrivedAt);
  const std::string Labels = std::string("kind=\"") + nameOf(Route.Kind) +
                             "\",outcome=\"" + Outcome + "\"";
  Context.Metrics.increment("azurehaven_requests_total", Labels);
  Context.Metrics.observe("azurehaven_request_ms", Labels, Took);
  const bool IsAnswered = std::string_view(Outcome) == "answered";
  if (IsAnswered)
    bill();
  Context.Log.write(
      IsAnswered ? log_level::Info : log_level::Warning, "request_finished",
      {{"request", Request.Id.text()},
       {"route", Route.Name},
       {"account", Subject.Account.Account.text()},
       {"outcome", Outcome},
       {"endpoint", Endpoint ? Endpoint->Descriptor.Id.text() : "none"},
       {"model", Model.text()},
       {"config_version", std::to_string(Subject.Routes->version())},
       {"sends", std::to_string(Sends)},
       {"first_event_ms",
        FirstEventAfter ? std::to_string(FirstEventAfter->count()) : "none"},
       {"took_ms", std::to_string(Took.count())}});
  Attempt.reset();
}

} // namespace azurehaven
