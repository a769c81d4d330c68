#include "LibRelay/request_run.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>
#include <cmath>

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
/// What a prompt token costs of a generated one.
constexpr double PromptTokenPart = 0.25;
constexpr double MicroEuros = 1e6;
/// Failures of one endpoint within this time have one cause.
constexpr milliseconds BreakdownSpan{1000};
/// Prompts of small models take a tenth of the time: letting them pass holds
/// the others up little. The usual urgency is 5.
constexpr int SmallModelUrgency = 3;
/// A caller is in the middle of this answer.
constexpr int ContinuationUrgency = 2;
/// Events of a stream from which its pace can be told.
constexpr std::uint64_t LeastEventsForPace = 4;
/// Sessions are dealt to shares in steps of this part.
constexpr std::uint64_t DrawSteps = 100003;
/// How long an endpoint gets no new work after a failure; doubles with each
/// further one in a row.
constexpr milliseconds FirstAvoidance{250};
constexpr milliseconds LongestAvoidance{4000};
constexpr double FailureSmoothing = 0.15;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

void noteFailure(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.FailuresInRow = std::min(Endpoint.FailuresInRow + 1, 8u);
  const milliseconds Pause = std::min(
      FirstAvoidance * (1 << (Endpoint.FailuresInRow - 1)), LongestAvoidance);
  Endpoint.AvoidUntil = std::max(Endpoint.AvoidUntil, Now + Pause);
  Endpoint.FailureShare += FailureSmoothing * (1 - Endpoint.FailureShare);
}

void noteSuccess(endpoint_record &Endpoint) {
  Endpoint.FailuresInRow = 0;
  Endpoint.FailureShare -= FailureSmoothing * Endpoint.FailureShare;
}

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
                         dispatch_request Request, const route &Route,
                         const caller_account &Account,
                         std::uint64_t Fingerprint,
                         std::shared_ptr<caller_connection> Caller)
    : Context(Context), Head(std::move(Incoming.Head)),
      Body(std::make_shared<const std::string>(std::move(Incoming.Body))),
      Request(std::move(Request)), Routes(Context.Fleet.Routes), Route(Route),
      Account(Account), Fingerprint(Fingerprint), Caller(std::move(Caller)),
      ArrivedAt(Context.Clock.now()), TimeLimit(limitOf(this->Request, Route)),
      Deadline(Context.Executor),
      Session(fingerprintOf(this->Request.Session.empty()
                                ? this->Request.Id.text()
                                : this->Request.Session)),
      Service(chooseService()), Splicer(this->Request.LastEventId) {
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
  Context.Fleet.Retries.requestArrived(Service, ArrivedAt);
  sendNext();
}

milliseconds request_run::timeLeft(steady_time Now) const {
  return TimeLimit - std::chrono::duration_cast<milliseconds>(Now - ArrivedAt);
}

service_id request_run::chooseService() const {
  double Total = 0;
  for (const auto &Share : Route.Shares)
    Total += Share.Weight;
  // A request and its resends draw the same share.
  double Drawn =
      static_cast<double>(Fingerprint % DrawSteps) / DrawSteps * Total;
  for (const auto &Share : Route.Shares) {
    Drawn -= Share.Weight;
    if (Drawn < 0)
      return Share.Service;
  }
  return Route.Shares.empty() ? service_id() : Route.Shares.back().Service;
}

std::shared_ptr<endpoint_record> request_run::place(steady_time Now) {
  fleet_state &Fleet = Context.Fleet;
  placement_terms Terms;
  Terms.OwnDomain = Fleet.Domain;
  Terms.Tried = Tried;
  Terms.VmCount = Fleet.Members.size();
  Terms.Model = Model;
  if (ModelIndex)
    Terms.TokenWork = Fleet.Models.tokenWork(Route, *ModelIndex);
  const release_rule Rule = Fleet.Rollouts.ruleFor(Service, Now);
  const release_choice Choice =
      chooseRelease(Rule, Fleet.Pins.releaseOf(Session, Now), subjectDraw());
  const endpoint_list Candidates =
      candidatesFor(Fleet.Endpoints.ofService(Service), Rule, Choice, Now);
  const endpoint_pool *Pool = Routes->pool(Service);
  return Pool && Pool->Engine ? placeOnEngine(Request, Candidates, Terms, Now)
                              : placeOnLeastLoaded(Candidates, Terms, Now);
}

double request_run::subjectDraw() const {
  // Requests about one thing go together, so that their prompts stay cached.
  const std::uint64_t Subject =
      Request.Prompt.size() < 2
          ? Session
          : fingerprintOf(Request.Prompt[Request.Prompt.size() - 2].Id);
  return static_cast<double>(Subject % DrawSteps) / DrawSteps;
}

double request_run::promptWorkOn(const endpoint_record &Target,
                                 steady_time Now) const {
  if (!ModelIndex)
    return 0;
  const std::uint32_t Shared = sharedTokens(Request);
  auto Sent = Target.SentBeginnings.find(sharedBeginning(Request, Model));
  const bool IsCached = Sent != Target.SentBeginnings.end() &&
                        Now - Sent->second < std::chrono::seconds(15);
  const std::uint32_t Own =
      Request.PromptTokens > Shared ? Request.PromptTokens - Shared : 0;
  return (Own + (IsCached ? 0 : Shared)) *
         Context.Fleet.Models.tokenWork(Route, *ModelIndex);
}

void request_run::sendNext() {
  const steady_time Now = Context.Clock.now();
  if (Request.leavesModelOpen() && !Route.ModelsBySize.empty()) {
    if (!ModelIndex)
      ModelIndex = Context.Fleet.Models.firstModel(Route, Request);
    Model = Route.ModelsBySize[*ModelIndex];
  }
  const auto Target = place(Now);
  if (!Target)
    return refuse(refusalAfter(Runs > 0, "no_endpoint"));
  // A freeze may lie between the arrival of the request and this moment.
  const bool NeedsKey = Routes->needsKeys() && !Route.IsPublic;
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
  Send.Account = Account.Account;
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
  const double OwnWork = promptWorkOn(*Target, Now);
  WorkAhead = waitingWork(*Target) + OwnWork;
  Attempt = std::make_shared<endpoint_attempt>(
      Context, Target, Request.Id, OwnWork,
      std::weak_ptr<attempt_owner>(shared_from_this()));
  if (ModelIndex)
    Target->SentBeginnings[sharedBeginning(Request, Model)] = Now;
  outgoing_request Outgoing;
  Outgoing.Head = Context.Dialect.encodeSend(Head, Request, Send);
  Outgoing.Body = Body;
  Outgoing.IsHead = Head.Method == "HEAD";
  SentAt = Now;
  FirstEventAt.reset();
  EventsBefore = Splicer.eventCount();
  Cost += runCost();
  noteSession(Now);
  Attempt->start(std::move(Outgoing), Route.mayRepeat()
                                          ? connection_trust::AnyIdle
                                          : connection_trust::SurelyOpen);
  if (Route.mayRepeat())
    watchLiveness();
}

void request_run::watchLiveness() {
  const endpoint_pool *Pool = Routes->pool(Service);
  Liveness = std::make_shared<liveness_watch>(
      Context, Endpoint, Request.Id, Pool && Pool->Engine,
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

void request_run::noteSession(steady_time Now) {
  if (!Request.Session.empty())
    Context.Fleet.Pins.note(Session, Endpoint->Facts.Release, Now);
}

void request_run::record(bool Failed) {
  const steady_time Now = Context.Clock.now();
  run_outcome Outcome;
  Outcome.Failed = Failed;
  const std::uint64_t Events = Splicer.eventCount() - EventsBefore;
  const auto MsBetween = [](steady_time From, steady_time To) {
    return std::chrono::duration<double, std::milli>(To - From).count();
  };
  if (Route.Kind == work_kind::Stream) {
    if (FirstEventAt && Events >= LeastEventsForPace)
      Outcome.PaceMs = MsBetween(*FirstEventAt, LastEventAt) /
                       static_cast<double>(Events - 1);
  } else if (!Failed) {
    Outcome.PaceMs = MsBetween(SentAt, Now);
  }
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
    Context.Fleet.PromptPace.add(
        WorkAhead,
        std::chrono::duration<double, std::milli>(Context.Clock.now() - SentAt)
            .count());
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
  const milliseconds Backlog(std::llround(Fleet.PromptPace.msFor(
      meanWaitingWork(Fleet.Endpoints.ofService(Service), Now))));
  const auto Larger = Fleet.Models.escalate(Route, Request, *ModelIndex,
                                            *NewAnswer.Confidence, Backlog);
  Context.Log.write(log_level::Info, "answer_judged",
                    {{"request", Request.Id.text()},
                     {"route", Route.Name},
                     {"model", Model.text()},
                     {"confidence", std::to_string(*NewAnswer.Confidence)},
                     {"backlog_ms", std::to_string(Backlog.count())},
                     {"outcome", Larger ? "escalated" : "accepted"}});
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
    LastEventAt = Now;
    if (!FirstEventAt)
      FirstEventAt = Now;
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
      Endpoint->AvoidUntil = Context.Clock.now() + LongestAvoidance;
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
  record(false);
  noteSession(Context.Clock.now());
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
  noteFailure(*Endpoint, Context.Clock.now());
  record(true);
  // A failure of one endpoint among several is no reason to avoid it at once.
  if (Endpoint->FailuresInRow < 2)
    Endpoint->AvoidUntil = {};
  const bool MaySend = maySendAgain(Route, attempt_failure::AnsweredFailure) &&
                       Runs < Route.MaxAttempts && !AnswerStarted;
  if (MaySend)
    return retryOrRefuse(attempt_failure::AnsweredFailure,
                         "status " + std::to_string(Answer.Status));
  if (AnswerStarted)
    return breakOff("endpoint_failed");
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
    // All requests on an endpoint that breaks down fail with it: they count
    // as one.
    const bool IsFirst = Now - Endpoint->LastBreakdown > BreakdownSpan;
    Endpoint->LastBreakdown = Now;
    if (IsFirst)
      record(true);
    Context.Fleet.Quarantine.add(
        Fingerprint,
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
         !Context.Fleet.Quarantine.isRefused(Fingerprint) &&
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
    Splicer.startNextSource();
    return sendNext();
  }
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
  // A request that may run only once is left to finish: breaking it off could
  // leave the endpoint's work half done, and its answer can't be used.
  if (Attempt)
    Attempt->cancel();
  finish("caller_gone");
}

void request_run::addBill() {
  if (!Context.Bills || Account.Account.empty())
    return;
  bill Bill;
  Bill.Account = Account.Account;
  Bill.Request = Request.Id;
  Bill.BodyFingerprint = Fingerprint;
  Bill.Class = class_id(Route.Name);
  Bill.Version = version_id(
      Model.empty() ? "" : Model.text() + "@" + Endpoint->Facts.Release);
  Bill.Service = Service;
  Bill.PromptTokens = token_count(Request.PromptTokens);
  Bill.CompletionTokens = token_count(Request.OutputTokens);
  // Callers pay for the run that answered them, not for dropped ones.
  Bill.Price = micro_euros(std::llround(runCost()));
  Bill.Cost = micro_euros(std::llround(Cost));
  Bill.At = Context.Clock.wallNow();
  Bill.Vm = Context.Fleet.Self;
  Context.Bills->add(Bill);
}

double request_run::runCost() const {
  const endpoint_pool *Pool = Routes->pool(Service);
  if (!Pool || Model.empty())
    return 0;
  const double Tokens =
      Request.OutputTokens + Request.PromptTokens * PromptTokenPart;
  return Pool->costOf(Model) * Tokens / 1000 * MicroEuros;
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
  Context.Metrics.count("azurehaven_requests_total", Labels);
  Context.Metrics.observe("azurehaven_request_ms", Labels, Took);
  const bool IsAnswered = std::string_view(Outcome) == "answered";
  if (IsAnswered)
    addBill();
  Context.Log.write(
      IsAnswered ? log_level::Info : log_level::Warning, "request_finished",
      {{"request", Request.Id.text()},
       {"route", Route.Name},
       {"account", Account.Account.text()},
       {"outcome", Outcome},
       {"endpoint", Endpoint ? Endpoint->Facts.Id.text() : "none"},
       {"model", Model.text()},
       {"config_version", std::to_string(Routes->version())},
       {"sends", std::to_string(Sends)},
       {"first_event_ms",
        FirstEventAfter ? std::to_string(FirstEventAfter->count()) : "none"},
       {"took_ms", std::to_string(Took.count())}});
  Attempt.reset();
}

} // namespace azurehaven
