#include "LibEntry/chat_run.h"

#include "LibEntry/bill_commit.h"
#include "LibEntry/chat_bill.h"
#include "LibEntry/chat_refusal.h"
#include "LibTypes/verify.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// A request that has had this many attempts, over all its stages, is not
/// retried.
constexpr unsigned MaximumAttempts = 4;
/// A request is planned again at most until it has had this many plans.
constexpr unsigned MaximumPlans = 3;
constexpr milliseconds ConnectTimeout{500};
/// Time between two chunks of a response after which the connection counts as
/// broken.
constexpr milliseconds MaximumChunkGap{10000};
/// Timeout of the first chunk, as a multiple of the class's first-token target.
constexpr int FirstTokenTimeoutFactor = 10;
constexpr milliseconds MinimumFirstTokenTimeout{2000};
constexpr milliseconds RetryAfterFailure{500};
/// A queued request is shed if it would start later than this multiple of the
/// class's first-token target after its arrival.
constexpr int QueueTimeoutFactor = 4;

attempt_outcome outcomeOf(const engine_failure &Failure) {
  const bool IsRefused = Failure.Fault == engine_fault::Busy ||
                         Failure.Fault == engine_fault::Leaving;
  return IsRefused ? attempt_outcome::Refused : attempt_outcome::Failed;
}

std::string label(const char *Name, const std::string &Value) {
  return std::string(Name) + "=\"" + Value + "\"";
}

milliseconds elapsed(steady_time From, steady_time Now) {
  return std::chrono::duration_cast<milliseconds>(Now - From);
}

} // namespace

chat_run::chat_run(const entry_services &Services, chat_request Checked)
    : Services(Services), Request(std::move(Checked)),
      Crashes(Services, Request) {
  Record.Request = Request.Id;
  Record.Account = Request.Account.Id;
  Record.Class = Request.Class.Id;
  Record.ConfigVersion = Request.Configuration->Version;
  Record.At = Services.Clock.wallNow();
}

chat_run::~chat_run() {
  if (Attempt)
    reportAttempt(attempt_outcome::Cancelled, /*AttemptMayHaveRun=*/true,
                  nullptr);
  releaseStage();
  if (RegisteredBody)
    Services.RequestIds.endRequest(*RegisteredBody);
  if (Record.Outcome.empty())
    Record.Outcome = "the caller disconnected";
  Services.Log.write(
      log_level::Info, "request_finished",
      {{"request", Request.Id.text()},
       {"account", Request.Account.Id.text()},
       {"class", Request.Class.Id.text()},
       {"outcome", Record.Outcome},
       {"ms", std::to_string(
                  elapsed(Request.ArrivedAt, Services.Clock.now()).count())}});
  Services.Decisions.add(std::move(Record));
}

std::optional<refusal> chat_run::start() {
  auto Refusal = registerRequestId();
  if (!Refusal)
    Refusal = planAndRun();
  if (Refusal)
    Record.Outcome = "refused: " + Refusal->Code;
  else
    Services.Metrics.observe("azurehaven_first_token_ms",
                             label("class", Request.Class.Id.text()),
                             elapsed(Request.ArrivedAt, Services.Clock.now()));
  return Refusal;
}

std::optional<refusal> chat_run::registerRequestId() {
  // An id that this VM issued is unique.
  if (Request.Origin == id_origin::Issued)
    return std::nullopt;
  const auto Notice = makeRequestBodyNotice(Request.Account.Id, Request.Id,
                                            Request.BodyFingerprint);
  if (!Services.RequestIds.beginRequest(Notice, Services.Clock.now())) {
    Services.Metrics.increment("azurehaven_reused_request_ids_total");
    return makeRefusal(409, "request_id_reused",
                       "this id is in use for a request with another body",
                       std::nullopt);
  }
  RegisteredBody = Notice;
  return std::nullopt;
}

std::optional<refusal> chat_run::planAndRun() {
  Services.Router.countRequest(Request.Account.Id, Services.Clock.now());
  for (unsigned PlanCount = 1;; ++PlanCount) {
    auto Planned = plan();
    if (auto *Refusal = std::get_if<refusal>(&Planned))
      return *Refusal;
    IsPlanOutdated = false;
    auto Refusal = runPlan(std::get<route_plan>(Planned));
    if (!Refusal || !mayPlanAgain(PlanCount))
      return Refusal;
    addStep(Version.text() + " has no endpoint any more, planned again");
    releaseStage();
  }
}

/// Endpoints may leave while a request waits for admission. Another version
/// then serves it, as it does those that arrive later.
bool chat_run::mayPlanAgain(unsigned PlanCount) const {
  return IsPlanOutdated && AttemptCount == 0 && PlanCount < MaximumPlans;
}

std::variant<route_plan, refusal> chat_run::plan() {
  if (const auto Reason = Crashes.refusalReason())
    return refusalForRouting({*Reason, milliseconds(0)});
  routing_request Routing;
  Routing.Configuration = Request.Configuration.get();
  Routing.Account = &Request.Account;
  Routing.Class = &Request.Class;
  Routing.Fingerprint = Request.CrashFingerprint;
  if (Request.Session)
    Routing.PinnedVersion = Request.Session->Version;
  auto Planned = Services.Router.plan(Routing, Services.Clock.now(), &Record);
  if (auto *Refused = std::get_if<routing_refusal>(&Planned))
    return refusalForRouting(*Refused);
  return std::get<route_plan>(std::move(Planned));
}

std::optional<refusal> chat_run::runPlan(const route_plan &Plan) {
  for (const plan_stage &Stage : Plan.Stages) {
    Version = Stage.Version;
    if (auto Refusal = admitToStage(Stage.Version)) {
      // Skips a cheaper stage that is overloaded; the next one can respond too.
      if (Stage.MinimumConfidence)
        continue;
      return Refusal;
    }
    if (!Stage.MinimumConfidence)
      return runStreamedStage();
    auto Response = runBufferedStage(Stage);
    releaseStage();
    if (!Response)
      continue;
    PendingEvents.push_back(engine_text{std::move(Response->Text)});
    PendingEvents.push_back(Response->Finish);
    return std::nullopt;
  }
  return makeRefusal(500, "internal", "the route plan has no final stage",
                     std::nullopt);
}

std::optional<refusal> chat_run::admitToStage(const version_id &Stage) {
  admission_request Admission;
  Admission.Account = Request.Account.Id;
  Admission.Share = Request.Account.Share;
  Admission.Priority = Request.Class.Priority;
  Admission.LatestStart = std::min(
      Request.Deadline,
      Request.ArrivedAt + QueueTimeoutFactor * Request.Class.FirstTokenTarget);
  auto Admitted =
      Services.Gate.waitForAdmission(Stage, Admission, Services.Clock.now());
  if (auto *Shed = std::get_if<shed>(&Admitted))
    return makeRefusal(429, "overloaded", "no slot would be free in time",
                       Shed->RetryAfter);
  Ticket = std::get<admission_ticket>(Admitted);
  TicketVersion = Stage;
  StageStartedAt = Services.Clock.now();
  ExcludedEndpoints.clear();
  return std::nullopt;
}

void chat_run::releaseStage() {
  if (!Ticket)
    return;
  const steady_time Now = Services.Clock.now();
  Services.Gate.release(TicketVersion, *Ticket, elapsed(StageStartedAt, Now),
                        Now);
  Ticket.reset();
}

std::optional<chat_run::stage_response>
chat_run::runBufferedStage(const plan_stage &Stage) {
  stage_response Response;
  auto Opened = openAttemptWithRetries();
  if (std::holds_alternative<refusal>(Opened))
    return std::nullopt;
  engine_event Event = std::move(std::get<engine_event>(Opened));
  while (auto *Chunk = std::get_if<engine_text>(&Event)) {
    Response.Text += Chunk->Text;
    Event = receive();
  }
  if (auto *Failure = std::get_if<engine_failure>(&Event)) {
    recordAttemptFailure(*Failure);
    return std::nullopt;
  }
  Response.Finish = std::get<engine_finish>(Event);
  reportAttempt(attempt_outcome::Answered, /*AttemptMayHaveRun=*/true,
                &Response.Finish);
  addCost(Response.Finish);
  offerForRating(Response.Finish, Response.Text);
  const bool IsAccepted =
      Response.Finish.Confidence >= *Stage.MinimumConfidence;
  addStep(Stage.Version.text() + " answered with confidence " +
          std::to_string(Response.Finish.Confidence) +
          (IsAccepted ? ", accepted" : ", escalated"));
  if (IsAccepted)
    return Response;
  Role = answer_role::Escalated;
  RequiredConfidence = *Stage.MinimumConfidence;
  return std::nullopt;
}

std::optional<refusal> chat_run::runStreamedStage() {
  auto Opened = openAttemptWithRetries();
  if (auto *Refusal = std::get_if<refusal>(&Opened))
    return *Refusal;
  PendingEvents.push_back(std::move(std::get<engine_event>(Opened)));
  return std::nullopt;
}

/// Tries endpoints until one returns the first chunk of its response.
chat_run::first_event chat_run::openAttemptWithRetries() {
  while (true) {
    if (auto Refusal = checkStillPermitted())
      return *Refusal;
    if (remainingTime() <= milliseconds(0))
      return makeRefusal(504, "deadline_exceeded", "the deadline has passed",
                         milliseconds(0));
    if (const auto Reason = Crashes.refusalReason())
      return refusalForRouting({*Reason, milliseconds(0)});
    Attempt = Services.Router.startAttempt(
        Version, Request.AffinityKey, Request.CrashFingerprint,
        ExcludedEndpoints, Services.Clock.now());
    if (!Attempt) {
      IsPlanOutdated = true;
      const auto UntilAdmission =
          Services.Router.timeUntilAdmission(Version, Services.Clock.now());
      return refusalForRouting({refusal_reason::NoEndpoint,
                                UntilAdmission.value_or(RetryAfterFailure)});
    }
    auto Opened = openAttempt();
    if (auto *Event = std::get_if<engine_event>(&Opened))
      return std::move(*Event);
    const auto &Failure = std::get<engine_failure>(Opened);
    recordAttemptFailure(Failure);
    if (!takeRetryIfAllowed(Failure))
      return refusalForFailure(Failure);
  }
}

std::variant<engine_event, engine_failure> chat_run::openAttempt() {
  ++AttemptCount;
  if (RegisteredBody)
    Services.RequestIds.markSent(*RegisteredBody);
  AttemptStartedAt = Services.Clock.now();
  AttemptFirstToken.reset();
  Crashes.onSent(Attempt->Endpoint);
  engine_attempt::parameters Parameters;
  // Unique for each attempt, so that a response to an earlier one is detected.
  Parameters.AttemptId =
      Services.Settings.Vm.text() + "/" + Request.Id.text() + "/" +
      std::to_string(AttemptCount) + "/" +
      std::to_string(Request.ArrivedAt.time_since_epoch().count());
  Parameters.Version = Version;
  Parameters.Priority = Request.Class.Priority;
  Parameters.CallerBody = &Request.Body;
  Parameters.ResumeText = SentText;
  addStep("attempt " + std::to_string(AttemptCount) + " of " + Version.text() +
          " at " + Attempt->Endpoint.Id.text());
  auto Opened = engine_attempt::open(
      Services.Transport, Attempt->Endpoint.Address, Parameters, timeouts());
  if (auto *Failure = std::get_if<engine_failure>(&Opened))
    return std::move(*Failure);
  EngineAttempt = std::move(std::get<std::unique_ptr<engine_attempt>>(Opened));
  // The engine has accepted the request, whatever becomes of its response.
  MayHaveRun = true;
  Crashes.onHead();
  engine_event First = receive();
  if (auto *Failure = std::get_if<engine_failure>(&First))
    return std::move(*Failure);
  AttemptFirstToken = elapsed(AttemptStartedAt, Services.Clock.now());
  return First;
}

engine_event chat_run::receive() {
  engine_event Event = EngineAttempt->next();
  if (std::holds_alternative<engine_text>(Event))
    Crashes.onText();
  else if (std::holds_alternative<engine_finish>(Event))
    Crashes.onComplete();
  return Event;
}

std::optional<refusal> chat_run::checkStillPermitted() const {
  auto Current = Services.currentConfiguration();
  if (!Current)
    return makeRefusal(503, "configuration_not_current",
                       "this VM can't confirm that its configuration is the "
                       "newest",
                       RetryAfterFailure);
  auto Account = Current->Accounts.find(Request.Account.Id);
  if (Account == Current->Accounts.end() ||
      !Current->permits(Account->second, Version))
    return refusalForRouting({Request.Session
                                  ? refusal_reason::VersionWithdrawn
                                  : refusal_reason::NoAllowedVersion,
                              milliseconds(0)});
  return std::nullopt;
}

bool chat_run::takeRetryIfAllowed(const engine_failure &Failure) {
  if (AttemptCount >= MaximumAttempts || remainingTime() <= milliseconds(0))
    return false;
  if (Failure.Fault == engine_fault::Leaving)
    return true;
  return Services.Router.tryTakeRetry(Request.Account.Id, Services.Clock.now());
}

void chat_run::reportAttempt(attempt_outcome Outcome, bool AttemptMayHaveRun,
                             const engine_finish *Finish) {
  attempt_report Report;
  Report.Outcome = Outcome;
  Report.TimeToFirstToken = AttemptFirstToken;
  Report.TotalTime = elapsed(AttemptStartedAt, Services.Clock.now());
  Report.HadStartedAnswer = AttemptFirstToken.has_value();
  Report.MayHaveRun = AttemptMayHaveRun;
  Report.IsPastDeadline = remainingTime() <= milliseconds(0);
  Report.Role = Role;
  if (Finish) {
    Report.Confidence = confidenceForRating(*Finish);
    Report.PromptTokens = Finish->PromptTokens;
    Report.CompletionTokens = Finish->CompletionTokens;
  }
  Services.Router.finishAttempt(*Attempt, Request.Class, Report,
                                Services.Clock.now());
  Attempt.reset();
  EngineAttempt.reset();
}

void chat_run::recordAttemptFailure(const engine_failure &Failure) {
  MayHaveRun |= Failure.mayHaveRun();
  addStep("failed: " + std::string(nameOf(Failure.Fault)) + ", " +
          Failure.Message);
  Services.Log.write(log_level::Warning, "attempt_failed",
                     {{"request", Request.Id.text()},
                      {"endpoint", Attempt->Endpoint.Id.text()},
                      {"version", Version.text()},
                      {"fault", nameOf(Failure.Fault)},
                      {"error", Failure.Message}});
  Services.Metrics.increment("azurehaven_attempt_failures_total",
                             label("fault", nameOf(Failure.Fault)));
  ExcludedEndpoints.insert(Attempt->Endpoint.Id);
  if (Failure.Fault == engine_fault::Leaving)
    Services.Router.markEndpointLeaving(Attempt->Endpoint.Id);
  if (Failure.Fault == engine_fault::Broken && Crashes.detectCrash())
    addStep(Attempt->Endpoint.Id.text() + " crashed while running the request");
  reportAttempt(outcomeOf(Failure), Failure.mayHaveRun(), nullptr);
}

chat_event chat_run::next() {
  engine_event Event;
  if (!PendingEvents.empty()) {
    Event = std::move(PendingEvents.front());
    PendingEvents.pop_front();
  } else {
    VERIFY(EngineAttempt);
    Event = receive();
  }
  if (auto *Failure = std::get_if<engine_failure>(&Event))
    Event = resume(*Failure);
  if (auto *Chunk = std::get_if<engine_text>(&Event)) {
    if (remainingTime() <= milliseconds(0)) {
      Record.Outcome = "refused: deadline_exceeded";
      return makeRefusal(504, "deadline_exceeded", "the deadline has passed",
                         milliseconds(0));
    }
    SentText += Chunk->Text;
    return chat_text{std::move(Chunk->Text)};
  }
  if (auto *Finish = std::get_if<engine_finish>(&Event))
    return billAndFinish(*Finish);
  refusal Refusal = refusalForFailure(std::get<engine_failure>(Event));
  Record.Outcome = "refused: " + Refusal.Code;
  return Refusal;
}

/// Continues an interrupted response on another endpoint of the same version,
/// after the text that the caller has received.
engine_event chat_run::resume(const engine_failure &Failure) {
  recordAttemptFailure(Failure);
  if (!takeRetryIfAllowed(Failure))
    return Failure;
  Services.Metrics.increment("azurehaven_resumed_answers_total");
  auto Opened = openAttemptWithRetries();
  if (auto *Refusal = std::get_if<refusal>(&Opened))
    return engine_failure{engine_fault::Broken, Refusal->Message};
  return std::move(std::get<engine_event>(Opened));
}

void chat_run::addCost(const engine_finish &Finish) {
  Cost += priceOf(*Request.Configuration, Version, Finish);
}

chat_event chat_run::billAndFinish(const engine_finish &Finish) {
  if (Attempt) {
    reportAttempt(attempt_outcome::Answered, /*AttemptMayHaveRun=*/true,
                  &Finish);
    addCost(Finish);
    offerForRating(Finish, SentText);
  }
  releaseStage();
  const bill Bill =
      makeChatBill(Request, Version, Finish, Cost, Services.Clock.wallNow(),
                   Services.Settings.Vm);
  const bool IsDurable = commitBill(Services, Bill);
  addStep(IsDurable ? "billed" : "bill not durable in time");
  if (!IsDurable) {
    Record.Outcome = "refused: bill_not_durable";
    return makeRefusal(503, "bill_not_durable",
                       "the bill could not be stored durably; a retry with "
                       "the same id is billed once",
                       RetryAfterFailure);
  }
  Record.Outcome = "answered by " + Version.text();
  Services.Metrics.increment("azurehaven_answers_total",
                             label("class", Request.Class.Id.text()) + "," +
                                 label("version", Version.text()));
  Services.Metrics.observe("azurehaven_answer_ms",
                           label("class", Request.Class.Id.text()),
                           elapsed(Request.ArrivedAt, Services.Clock.now()));
  return chat_end{Version, Finish.PromptTokens, Finish.CompletionTokens,
                  Bill.Price};
}

void chat_run::offerForRating(const engine_finish &Finish,
                              const std::string &Text) {
  rating_job Job;
  Job.Subject = {Version, Request.Class.Id};
  Job.Role = Role;
  Job.Confidence = confidenceForRating(Finish);
  Job.RequestId = Request.Id.text();
  Job.Prompt = Request.Body["messages"].back()["content"].get<std::string>();
  Job.Response = Text;
  Services.Ratings.offer(std::move(Job), Services.Clock.now());
}

milliseconds chat_run::remainingTime() const {
  return std::chrono::duration_cast<milliseconds>(Request.Deadline -
                                                  Services.Clock.now());
}

http_timeouts chat_run::timeouts() const {
  // The HTTP library has one timeout for all reads of a connection, so that the
  // smaller of the two limits applies to each read.
  const milliseconds FirstTokenTimeout =
      std::max(MinimumFirstTokenTimeout,
               FirstTokenTimeoutFactor * Request.Class.FirstTokenTarget);
  const milliseconds ReadTimeout = std::min(MaximumChunkGap, FirstTokenTimeout);
  return {ConnectTimeout,
          std::clamp(remainingTime(), milliseconds(1), ReadTimeout)};
}

refusal chat_run::refusalForFailure(const engine_failure &Failure) const {
  if (remainingTime() <= milliseconds(0))
    return makeRefusal(504, "deadline_exceeded", "the deadline has passed",
                       milliseconds(0));
  return makeRefusal(502, "endpoint_failed", Failure.Message,
                     RetryAfterFailure);
}

refusal chat_run::makeRefusal(int Status, const char *Code, std::string Message,
                              std::optional<milliseconds> RetryAfter) const {
  return {Status, Code, runState(), std::move(Message), RetryAfter};
}

refusal chat_run::refusalForRouting(const routing_refusal &Refusal) const {
  return makeRoutingRefusal(Refusal, runState());
}

} // namespace azurehaven
