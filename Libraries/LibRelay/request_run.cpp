#include "LibRelay/request_run.h"

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

const char *nameOf(work_kind Kind) {
  switch (Kind) {
  case work_kind::Idempotent:
    return "idempotent";
  case work_kind::NonIdempotent:
    return "non_idempotent";
  case work_kind::Stream:
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

request_run::request_run(relay_context &Context, incoming_request Incoming,
                         dispatch_request NewRequest, const route &NewRoute,
                         const caller_account &Account,
                         std::uint64_t Fingerprint,
                         std::shared_ptr<caller_connection> Caller)
    : Context(Context), Head(std::move(Incoming.Head)),
      Body(std::make_shared<const std::string>(std::move(Incoming.Body))),
      Subject(describeRequest(std::move(NewRequest), Context.Fleet.Routes,
                              NewRoute, Account, Fingerprint)),
      Request(Subject.Request), Route(*Subject.Route),
      Caller(std::move(Caller)), ArrivedAt(Context.Clock.now()),
      TimeLimit(limitOf(Request, Route)), Deadline(Context.Executor),
      Splicer(Request.LastEventId) {
  Context.ActiveRequests.insert(this);
}

request_run::~request_run() { Context.ActiveRequests.erase(this); }

void request_run::start(relay_context &Context, incoming_request Incoming,
                        dispatch_request Request, const route &Route,
                        const caller_account &Account,
                        std::uint64_t Fingerprint,
                        std::shared_ptr<caller_connection> Caller) {
  std::shared_ptr<request_run> Run(
      new request_run(Context, std::move(Incoming), std::move(Request), Route,
                      Account, Fingerprint, std::move(Caller)));
  Run->begin();
}

void request_run::begin() {
  Caller->setObserver(weak_from_this());
  Deadline.expires_after(TimeLimit);
  Deadline.async_wait(
      [Self = shared_from_this()](const asio::error_code &Code) {
        if (!Code)
          Self->onDeadline();
      });
  Context.Fleet.Retries.requestArrived(Subject.Service, ArrivedAt);
  sendNext();
}

milliseconds request_run::timeLeft(steady_time Now) const {
  return TimeLimit - std::chrono::duration_cast<milliseconds>(Now - ArrivedAt);
}

void request_run::sendNext() {
  const steady_time Now = Context.Clock.now();
  if (Request.leavesModelOpen() && !Route.ModelsBySize.empty()) {
    if (!ModelIndex)
      ModelIndex = Context.Fleet.Models.firstModel(Route, Request);
    Model = Route.ModelsBySize[*ModelIndex];
  }
  const auto Target =
      placeRequest(Context.Fleet, Subject, Tried, ModelIndex, Now);
  if (!Target)
    return refuse(refusalAfter(Runs > 0, "no_endpoint"));
  // A freeze may lie between the arrival of the request and this moment.
  const bool NeedsKey = Subject.Routes->needsKeys() && !Route.IsPublic;
  if (NeedsKey && !Context.Fleet.Confirmation.isCurrent(Now))
    return refuse(refusalAfter(Runs > 0, "configuration_not_confirmed"));
  sendTo(Target);
}

void request_run::sendTo(const std::shared_ptr<endpoint_record> &Target) {
  const steady_time Now = Context.Clock.now();
  Endpoint = Target;
  Tried.insert(Target->Facts.Id);
  ++Sends;
  endpoint_send Send;
  Send.Endpoint = Target->Facts.Id;
  Send.Address = Target->Facts.Address;
  Send.Account = Subject.Account.Account;
  Send.TimeLeft = timeLeft(Now);
  if (Request.leavesModelOpen() && !Model.empty())
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
                     {"endpoint", Target->Facts.Id.text()},
                     {"release", Target->Facts.Release},
                     {"model", Model.text()},
                     {"send", std::to_string(Sends)},
                     {"in_flight", std::to_string(Target->InFlight)},
                     {"time_left_ms", std::to_string(Send.TimeLeft.count())}});
  const double OwnWork =
      promptWorkOn(Context.Fleet, Subject, ModelIndex, *Target, Now);
  WorkAhead = waitingWork(*Target) + OwnWork;
  Attempt = std::make_shared<endpoint_attempt>(
      Context, Target, Request.Id, OwnWork,
      std::weak_ptr<attempt_owner>(shared_from_this()));
  outgoing_request Outgoing;
  Outgoing.Head = Context.Dialect.encodeSend(Head, Request, Send);
  Outgoing.Body = Body;
  Outgoing.IsHead = Head.Method == "HEAD";
  Timing.sent(Now, Splicer.eventCount());
  Cost += costOfRun(Subject, ModelIndex);
  noteSent(Context.Fleet, Subject, ModelIndex, *Target, Now);
  Attempt->start(std::move(Outgoing), Route.mayRepeat()
                                          ? connection_trust::AnyIdle
                                          : connection_trust::SurelyOpen);
  if (Route.mayRepeat())
    watchLiveness();
}

void request_run::watchLiveness() {
  Liveness = std::make_shared<liveness_watch>(
      Context, Endpoint, Request.Id, Subject.isForEngines(),
      [Weak = weak_from_this()](const std::string &Reason) {
        auto Self = Weak.lock();
        // Silence alone is no reason to end a request that can't go elsewhere;
        // the present run counts as one then.
        if (Self && Self->Runs + 1 < Self->Route.MaxAttempts &&
            Self->maySendAgainAfter(attempt_failure::Broken,
                                    Self->Context.Clock.now()))
          Self->onAttemptFailed(attempt_failure::Broken, Reason);
      });
  Liveness->start();
}

void request_run::record(bool Failed) {
  const steady_time Now = Context.Clock.now();
  run_outcome Outcome;
  Outcome.Failed = Failed;
  Outcome.PaceMs = Timing.paceMs(Route.Kind, Failed, Splicer.eventCount(), Now);
  recordOutcome(Context.Fleet, Endpoint->Facts, Route, Model, Outcome, Now);
}

head_verdict request_run::onAnswerHead(const response_head &NewHead,
                                       const endpoint_answer &NewAnswer) {
  if (Over)
    return head_verdict::Reject;
  const bool Belongs = NewAnswer.Answers || !isSuccess(NewAnswer.Status);
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

bool request_run::escalates(const endpoint_answer &NewAnswer) {
  if (!ModelIndex || !NewAnswer.Confidence || !isSuccess(NewAnswer.Status) ||
      AnswerStarted || Runs + 1 >= Route.MaxAttempts)
    return false;
  fleet_state &Fleet = Context.Fleet;
  const steady_time Now = Context.Clock.now();
  const milliseconds Backlog = backlogOf(Fleet, Subject.Service, Now);
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
  if (!Context.Fleet.Retries.tryTake(Endpoint->Facts.Service,
                                     Context.Fleet.Members.size(),
                                     Context.Clock.now()))
    return false;
  ModelIndex = Larger;
  ++Runs;
  noteSuccess(*Endpoint);
  if (Liveness)
    Liveness->stop();
  record(false);
  Tried.erase(Endpoint->Facts.Id);
  // The attempt ends first; the next one starts from the event loop.
  Attempt->cancel();
  asio::post(Context.Executor, [Self = shared_from_this()] {
    if (!Self->Over)
      Self->sendNext();
  });
  return true;
}

void request_run::onAnswerBody(std::string Bytes) {
  if (Over)
    return;
  if (Route.Kind == work_kind::Stream && isSuccess(Answer.Status))
    return passOnStream(std::move(Bytes));
  AnswerBody += Bytes;
  if (AnswerBody.size() > WholeAnswerLimit) {
    Attempt->cancel();
    onAttemptFailed(attempt_failure::Broken, "the answer is too large");
  }
}

void request_run::passOnStream(std::string Bytes) {
  const steady_time Now = Context.Clock.now();
  const std::string Events = Splicer.add(Bytes);
  if (Liveness)
    Liveness->heard(Now);
  if (!Events.empty()) {
    Timing.eventsCame(Now);
    if (!AnswerStarted) {
      AnswerStarted = true;
      FirstEventAfter =
          std::chrono::duration_cast<milliseconds>(Now - ArrivedAt);
      Caller->startAnswer(AnswerHead.Status,
                          Context.Dialect.passedOnFields(AnswerHead));
    }
    Caller->sendPiece(Events);
    if (Over)
      return;
    if (Caller->pendingBytes() > CallerBacklog)
      Attempt->pauseReading();
  }
  if (Splicer.isBroken()) {
    Attempt->cancel();
    onAttemptFailed(attempt_failure::Broken, "malformed events");
  }
}

void request_run::onCallerDrained() {
  if (!Over && Attempt)
    Attempt->resumeReading();
}

void request_run::onAnswerEnd() {
  if (Over)
    return;
  if (Answer.WasNotExecuted || Answer.IsMisdirected) {
    if (Answer.IsMisdirected)
      noteMisdirected(*Endpoint, Context.Clock.now());
    return retryOrRefuse(attempt_failure::NotExecuted,
                         "status " + std::to_string(Answer.Status));
  }
  ++Runs;
  if (!isSuccess(Answer.Status))
    return passOnFailure();
  if (Route.Kind == work_kind::Stream && Splicer.hasPartialEvent()) {
    --Runs; // Counted below.
    return onAttemptFailed(attempt_failure::Broken, "cut in an event");
  }
  noteSuccess(*Endpoint);
  Context.Fleet.Quarantine.answered(Subject.Fingerprint);
  record(false);
  noteSession(Context.Fleet, Subject, *Endpoint, Context.Clock.now());
  if (Route.Kind == work_kind::Stream)
    return passOnWhole();
  Caller->sendAnswer(AnswerHead.Status,
                     Context.Dialect.passedOnFields(AnswerHead), AnswerBody);
  finish("answered");
}

void request_run::passOnWhole() {
  if (!AnswerStarted)
    Caller->startAnswer(AnswerHead.Status,
                        Context.Dialect.passedOnFields(AnswerHead));
  Caller->finishAnswer();
  finish("answered");
}

void request_run::passOnFailure() {
  noteAnsweredFailure(*Endpoint, Context.Clock.now());
  record(true);
  const bool MaySend = maySendAgain(Route, attempt_failure::AnsweredFailure) &&
                       Runs < Route.MaxAttempts && !AnswerStarted;
  if (MaySend)
    return retryOrRefuse(attempt_failure::AnsweredFailure,
                         "status " + std::to_string(Answer.Status));
  if (AnswerStarted)
    return breakOff("endpoint_failed");
  passOnOwnFailure();
}

void request_run::passOnOwnFailure() {
  const bool ClaimsNotRun = Answer.Status == 503 || Answer.Status == 429 ||
                            Answer.Status == 408 || Answer.Status == 421;
  if (ClaimsNotRun || !Answer.IsSigned)
    return refuse({502, std::nullopt, "endpoint_failed"});
  Caller->sendAnswer(AnswerHead.Status,
                     Context.Dialect.passedOnFields(AnswerHead), AnswerBody);
  finish("endpoint_failed");
}

void request_run::onAttemptFailed(attempt_failure Failure,
                                  const std::string &Reason) {
  if (Over)
    return;
  if (Liveness)
    Liveness->stop();
  Attempt->cancel();
  const steady_time Now = Context.Clock.now();
  noteFailure(*Endpoint, Now);
  if (Failure == attempt_failure::Broken) {
    ++Runs;
    if (isFirstBreakdown(*Endpoint, Now))
      record(true);
    Context.Fleet.Quarantine.add(
        Subject.Fingerprint,
        endpoint_id(Endpoint->Facts.Id.text() + "/" +
                    std::to_string(Endpoint->Facts.Incarnation)),
        Now);
  }
  retryOrRefuse(Failure, Reason);
}

bool request_run::maySendAgainAfter(attempt_failure Failure,
                                    steady_time Now) const {
  return maySendAgain(Route, Failure) && Runs < Route.MaxAttempts &&
         Sends < Route.MaxAttempts + ExtraSends &&
         !Context.Fleet.Quarantine.isRefused(Subject.Fingerprint) &&
         timeLeft(Now).count() > 0;
}

void request_run::retryOrRefuse(attempt_failure Failure,
                                const std::string &Reason) {
  const steady_time Now = Context.Clock.now();
  Context.Log.write(log_level::Warning, "attempt_failed",
                    {{"request", Request.Id.text()},
                     {"endpoint", Endpoint->Facts.Id.text()},
                     {"reason", Reason},
                     {"may_have_run", mayHaveRun(Failure) ? "yes" : "no"},
                     {"sends", std::to_string(Sends)}});
  const bool IsAllowed = maySendAgainAfter(Failure, Now);
  const bool HasBudget =
      IsAllowed &&
      (Failure == attempt_failure::NotSent ||
       Context.Fleet.Retries.tryTake(Endpoint->Facts.Service,
                                     Context.Fleet.Members.size(), Now));
  if (HasBudget) {
    if (AnswerStarted)
      Context.Metrics.increment("azurehaven_resumed_streams_total");
    Context.Metrics.increment("azurehaven_repeated_sends_total");
    Splicer.startNextSource();
    return sendNext();
  }
  if (Failure == attempt_failure::AnsweredFailure && !AnswerStarted)
    return passOnOwnFailure();
  refuse(
      refusalAfter(Runs > 0, IsAllowed ? "retry_budget" : "attempts_failed"));
}

void request_run::refuse(const final_refusal &Refusal) {
  if (AnswerStarted)
    return breakOff(Refusal.Reason);
  Caller->sendAnswer(
      Refusal.Status,
      Context.Dialect.ownAnswerFields(Request.Id, Refusal.RetryAfter), {});
  finish(Refusal.Reason);
}

void request_run::breakOff(const char *Reason) {
  Caller->abort();
  finish(Reason);
}

void request_run::onDeadline() {
  if (Over)
    return;
  if (Attempt) {
    Attempt->cancel();
    // A stream that never began says that its release is slow.
    if (!AnswerStarted)
      record(true);
  }
  refuse(refusalAtDeadline(Sends > 0));
}

void request_run::endNow() {
  if (Over)
    return;
  if (Attempt)
    Attempt->cancel();
  refuse(refusalAfter(Sends > 0, "stopping"));
}

void request_run::onCallerGone() {
  if (Over)
    return;
  // The endpoint sees its connection close: nobody waits for the work.
  if (Attempt)
    Attempt->cancel();
  finish("caller_gone");
}

void request_run::bill() {
  if (!Context.Bills || Subject.Account.Account.empty())
    return;
  Context.Bills->add(billFor(Subject, ModelIndex, Endpoint->Facts.Release, Cost,
                             Context.Clock.wallNow(), Context.Fleet.Self));
}

void request_run::finish(const char *Outcome) {
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
       {"endpoint", Endpoint ? Endpoint->Facts.Id.text() : "none"},
       {"model", Model.text()},
       {"config_version", std::to_string(Subject.Routes->version())},
       {"sends", std::to_string(Sends)},
       {"first_event_ms",
        FirstEventAfter ? std::to_string(FirstEventAfter->count()) : "none"},
       {"took_ms", std::to_string(Took.count())}});
  Attempt.reset();
}

} // namespace azurehaven
