#include "LibEntry/chat_run.h"

#include "LibEntry/bill_commit.h"
#include "LibTypes/verify.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr unsigned AttemptLimit = 4;
constexpr milliseconds ConnectTimeout{500};
/// Silence between two parts of an answer that counts as a broken connection.
constexpr milliseconds SilenceLimit{10000};
/// Silence before the first part, as a multiple of the class's target.
constexpr int FirstTokenPatience = 10;
constexpr milliseconds LeastFirstTokenLimit{2000};
constexpr milliseconds ProbeTimeout{300};
constexpr milliseconds RetryAfterFailure{500};
/// A queued request is given up when it would start later than this multiple
/// of the class's first-token target.
constexpr int QueuePatience = 4;

micro_euros priceOf(const model_version &Version, const engine_finish &Finish) {
  return micro_euros(
      (Finish.PromptTokens.count() * Version.PromptPrice.count() +
       Finish.CompletionTokens.count() * Version.CompletionPrice.count()) /
      1000);
}

const char *nameOf(engine_fault Fault) {
  switch (Fault) {
  case engine_fault::Busy:
    return "busy";
  case engine_fault::Leaving:
    return "leaving";
  case engine_fault::Unreachable:
    return "unreachable";
  case engine_fault::Broken:
    return "broken";
  case engine_fault::Foreign:
    return "foreign";
  }
  return "unknown";
}

attempt_outcome outcomeOf(const engine_failure &Failure) {
  const bool IsRefused = Failure.Fault == engine_fault::Busy ||
                         Failure.Fault == engine_fault::Leaving;
  return IsRefused ? attempt_outcome::Refused : attempt_outcome::Failed;
}

std::string label(const char *Name, const std::string &Value) {
  return std::string(Name) + "=\"" + Value + "\"";
}

milliseconds since(steady_time From, steady_time Now) {
  return std::chrono::duration_cast<milliseconds>(Now - From);
}

} // namespace

chat_run::chat_run(const entry_services &Services, chat_request Checked)
    : Services(Services), Request(std::move(Checked)) {
  Record.Request = Request.Id;
  Record.Account = Request.Account.Id;
  Record.Class = Request.Class.Id;
  Record.ConfigVersion = Request.Configuration->Version;
  Record.At = Services.Clock.wallNow();
}

chat_run::~chat_run() {
  if (Attempt)
    endAttempt(attempt_outcome::Cancelled, nullptr);
  leaveStage();
  if (ClaimedBody)
    Services.Bodies.endRequest(*ClaimedBody);
  if (Record.Outcome.empty())
    Record.Outcome = "the caller left";
  Services.Log.write(
      log_level::Info, "request_finished",
      {{"request", Request.Id.text()},
       {"account", Request.Account.Id.text()},
       {"class", Request.Class.Id.text()},
       {"outcome", Record.Outcome},
       {"ms", std::to_string(
                  since(Request.ArrivedAt, Services.Clock.now()).count())}});
  Services.Decisions.add(std::move(Record));
}

std::optional<refusal> chat_run::start() {
  auto Refusal = claimBody();
  if (!Refusal)
    Refusal = planAndRun();
  if (Refusal)
    Record.Outcome = "refused: " + Refusal->Code;
  else
    Services.Metrics.observe("azurehaven_first_token_ms",
                             label("class", Request.Class.Id.text()),
                             since(Request.ArrivedAt, Services.Clock.now()));
  return Refusal;
}

std::optional<refusal> chat_run::claimBody() {
  // An id that this VM issued can't have been used before.
  if (Request.Origin == id_origin::Issued)
    return std::nullopt;
  const auto Notice = makeRequestBodyNotice(Request.Account.Id, Request.Id,
                                            Request.BodyFingerprint);
  if (!Services.Bodies.beginRequest(Notice, Services.Clock.now())) {
    Services.Metrics.increment("azurehaven_reused_request_ids_total");
    return makeRefusal(409, "request_id_reused",
                       "this id stands for a request with another body",
                       std::nullopt);
  }
  ClaimedBody = Notice;
  return std::nullopt;
}

std::optional<refusal> chat_run::planAndRun() {
  Services.Router.countRequest(Request.Account.Id);
  routing_request Routing;
  Routing.Configuration = Request.Configuration.get();
  Routing.Account = &Request.Account;
  Routing.Class = &Request.Class;
  Routing.Fingerprint = Request.CrashFingerprint;
  if (Request.Session)
    Routing.PinnedVersion = Request.Session->Version;
  auto Planned = Services.Router.plan(Routing, Services.Clock.now(), &Record);
  if (auto *Refused = std::get_if<routing_refusal>(&Planned))
    return refusalOf(*Refused);
  return runPlan(std::get<route_plan>(Planned));
}

std::optional<refusal> chat_run::runPlan(const route_plan &Plan) {
  for (const plan_stage &Stage : Plan.Stages) {
    Version = Stage.Version;
    if (auto Refusal = enterStage(Stage.Version)) {
      // An overloaded cheap stage is passed over, not waited for.
      if (Stage.MinimumConfidence)
        continue;
      return Refusal;
    }
    if (!Stage.MinimumConfidence)
      return runShownStage();
    auto Answer = runHeldStage(Stage);
    leaveStage();
    if (!Answer)
      continue;
    Held.push_back(engine_text{std::move(Answer->Text)});
    Held.push_back(Answer->Finish);
    return std::nullopt;
  }
  return makeRefusal(500, "internal", "the plan had no last stage",
                     std::nullopt);
}

std::optional<refusal> chat_run::enterStage(const version_id &Stage) {
  admission_request Admission;
  Admission.Account = Request.Account.Id;
  Admission.Share = Request.Account.Share;
  Admission.Priority = Request.Class.Priority;
  Admission.LatestStart = std::min(
      Request.Deadline,
      Request.ArrivedAt + QueuePatience * Request.Class.FirstTokenTarget);
  auto Entered = Services.Gate.enter(Stage, Admission, Services.Clock.now());
  if (auto *Shed = std::get_if<shed>(&Entered))
    return makeRefusal(429, "overloaded", "no place would be free in time",
                       Shed->RetryAfter);
  Ticket = std::get<admission_ticket>(Entered);
  TicketVersion = Stage;
  StageStartedAt = Services.Clock.now();
  Excluded.clear();
  return std::nullopt;
}

void chat_run::leaveStage() {
  if (!Ticket)
    return;
  const steady_time Now = Services.Clock.now();
  Services.Gate.leave(TicketVersion, *Ticket, since(StageStartedAt, Now), Now);
  Ticket.reset();
}

std::optional<chat_run::stage_answer>
chat_run::runHeldStage(const plan_stage &Stage) {
  stage_answer Answer;
  auto Opened = openWithRetries();
  if (std::holds_alternative<refusal>(Opened))
    return std::nullopt;
  engine_event Event = std::move(std::get<engine_event>(Opened));
  while (auto *Part = std::get_if<engine_text>(&Event)) {
    Answer.Text += Part->Text;
    Event = Engine->next();
  }
  if (auto *Failure = std::get_if<engine_failure>(&Event)) {
    attemptFailed(*Failure);
    return std::nullopt;
  }
  Answer.Finish = std::get<engine_finish>(Event);
  endAttempt(attempt_outcome::Answered, &Answer.Finish);
  addCost(Answer.Finish);
  offerRating(Answer.Finish, Answer.Text);
  const bool IsAccepted = Answer.Finish.Confidence >= *Stage.MinimumConfidence;
  note(Stage.Version.text() + " answered with confidence " +
       std::to_string(Answer.Finish.Confidence) +
       (IsAccepted ? ", accepted" : ", escalated"));
  if (IsAccepted)
    return Answer;
  Role = answer_role::Escalated;
  AskedConfidence = *Stage.MinimumConfidence;
  return std::nullopt;
}

std::optional<refusal> chat_run::runShownStage() {
  auto Opened = openWithRetries();
  if (auto *Refusal = std::get_if<refusal>(&Opened))
    return *Refusal;
  Held.push_back(std::move(std::get<engine_event>(Opened)));
  return std::nullopt;
}

/// Tries endpoints until one gives the first part of its answer.
chat_run::first_event chat_run::openWithRetries() {
  while (true) {
    if (auto Refusal = checkStillPermitted())
      return *Refusal;
    if (remaining() <= milliseconds(0))
      return makeRefusal(504, "deadline_exceeded", "the deadline has passed",
                         milliseconds(0));
    if (Services.Router.crashStatusOf(Request.CrashFingerprint) ==
        crash_status::Refused)
      return refusalOf({refusal_reason::CrashCausing, milliseconds(0)});
    Attempt = Services.Router.startAttempt(Version, Request.AffinityKey,
                                           Request.CrashFingerprint, Excluded,
                                           Services.Clock.now());
    if (!Attempt)
      return refusalOf({refusal_reason::NoEndpoint, RetryAfterFailure});
    auto Opened = openOnce();
    if (auto *Event = std::get_if<engine_event>(&Opened))
      return std::move(*Event);
    const auto &Failure = std::get<engine_failure>(Opened);
    attemptFailed(Failure);
    if (!mayRetry(Failure))
      return refusalAfter(Failure);
  }
}

std::variant<engine_event, engine_failure> chat_run::openOnce() {
  ++AttemptCount;
  if (ClaimedBody)
    Services.Bodies.markSent(*ClaimedBody);
  AttemptStartedAt = Services.Clock.now();
  AttemptFirstToken.reset();
  engine_attempt::order Order;
  // Unique for each attempt, so that an answer to an earlier one is told apart.
  Order.AttemptId =
      Services.Settings.Vm.text() + "/" + Request.Id.text() + "/" +
      std::to_string(AttemptCount) + "/" +
      std::to_string(Request.ArrivedAt.time_since_epoch().count());
  Order.Version = Version;
  Order.Priority = Request.Class.Priority;
  Order.CallerBody = &Request.Body;
  Order.ResumeText = Shown;
  note("attempt " + std::to_string(AttemptCount) + " of " + Version.text() +
       " at " + Attempt->Endpoint.Id.text());
  auto Opened = engine_attempt::open(
      Services.Transport, Attempt->Endpoint.Address, Order, timeouts());
  if (auto *Failure = std::get_if<engine_failure>(&Opened))
    return std::move(*Failure);
  Engine = std::move(std::get<std::unique_ptr<engine_attempt>>(Opened));
  engine_event First = Engine->next();
  if (auto *Failure = std::get_if<engine_failure>(&First))
    return std::move(*Failure);
  AttemptFirstToken = since(AttemptStartedAt, Services.Clock.now());
  return First;
}

std::optional<refusal> chat_run::checkStillPermitted() const {
  auto Current = Services.currentConfiguration();
  if (!Current)
    return makeRefusal(503, "configuration_not_current",
                       "this VM can't tell whether its configuration is the "
                       "newest",
                       RetryAfterFailure);
  auto Account = Current->Accounts.find(Request.Account.Id);
  if (Account == Current->Accounts.end() ||
      !Current->permits(Account->second, Version))
    return refusalOf({Request.Session ? refusal_reason::VersionWithdrawn
                                      : refusal_reason::NoAllowedVersion,
                      milliseconds(0)});
  return std::nullopt;
}

bool chat_run::mayRetry(const engine_failure &Failure) {
  if (AttemptCount >= AttemptLimit || remaining() <= milliseconds(0))
    return false;
  if (Failure.Fault == engine_fault::Leaving)
    return true;
  return Services.Router.tryTakeRetry(Request.Account.Id);
}

void chat_run::endAttempt(attempt_outcome Outcome,
                          const engine_finish *Finish) {
  attempt_report Report;
  Report.Outcome = Outcome;
  Report.TimeToFirstToken = AttemptFirstToken;
  Report.TotalTime = since(AttemptStartedAt, Services.Clock.now());
  Report.HadStartedAnswer = AttemptFirstToken.has_value();
  Report.Role = Role;
  if (Finish) {
    Report.Confidence = ratedConfidence(*Finish);
    Report.PromptTokens = Finish->PromptTokens;
    Report.CompletionTokens = Finish->CompletionTokens;
  }
  Services.Router.finishAttempt(*Attempt, Request.Class.Id, Report,
                                Services.Clock.now());
  Attempt.reset();
  Engine.reset();
}

void chat_run::attemptFailed(const engine_failure &Failure) {
  MayHaveRun |= Failure.mayHaveRun();
  note("failed: " + std::string(nameOf(Failure.Fault)) + ", " +
       Failure.Message);
  Services.Metrics.increment("azurehaven_attempt_failures_total",
                             label("fault", nameOf(Failure.Fault)));
  Excluded.insert(Attempt->Endpoint.Id);
  if (Failure.Fault == engine_fault::Leaving)
    Services.Router.markEndpointLeaving(Attempt->Endpoint.Id);
  if (Failure.Fault == engine_fault::Broken)
    detectCrash();
  endAttempt(outcomeOf(Failure), nullptr);
}

/// A broken answer whose endpoint has gone or restarted speaks against the
/// request; one whose endpoint lives on does not.
void chat_run::detectCrash() {
  const std::string BootId = Services.Router.bootIdOf(Attempt->Endpoint.Id);
  auto Report = fetchEndpointReport(Services.Transport,
                                    Attempt->Endpoint.Address, ProbeTimeout);
  if (!isError(Report) && valueOf(Report).BootId == BootId)
    return;
  note(Attempt->Endpoint.Id.text() + " broke down while running it");
  Services.Log.write(log_level::Warning, "endpoint_crashed",
                     {{"request", Request.Id.text()},
                      {"endpoint", Attempt->Endpoint.Id.text()}});
  Services.Metrics.increment("azurehaven_endpoint_crashes_total");
  Services.Router.addCrash({Request.CrashFingerprint, Attempt->Endpoint.Id},
                           Services.Clock.now());
  Services.SpreadNews();
}

chat_event chat_run::next() {
  engine_event Event;
  if (!Held.empty()) {
    Event = std::move(Held.front());
    Held.pop_front();
  } else {
    VERIFY(Engine);
    Event = Engine->next();
  }
  if (auto *Failure = std::get_if<engine_failure>(&Event))
    Event = resume(*Failure);
  if (auto *Part = std::get_if<engine_text>(&Event)) {
    if (remaining() <= milliseconds(0)) {
      Record.Outcome = "refused: deadline_exceeded";
      return makeRefusal(504, "deadline_exceeded", "the deadline has passed",
                         milliseconds(0));
    }
    Shown += Part->Text;
    return chat_text{std::move(Part->Text)};
  }
  if (auto *Finish = std::get_if<engine_finish>(&Event))
    return finish(*Finish);
  refusal Refusal = refusalAfter(std::get<engine_failure>(Event));
  Record.Outcome = "refused: " + Refusal.Code;
  return Refusal;
}

/// Goes on with a cut answer on another endpoint of the same version, from
/// the text that the caller has seen.
engine_event chat_run::resume(const engine_failure &Failure) {
  attemptFailed(Failure);
  if (!mayRetry(Failure))
    return Failure;
  Services.Metrics.increment("azurehaven_resumed_answers_total");
  auto Opened = openWithRetries();
  if (auto *Refusal = std::get_if<refusal>(&Opened))
    return engine_failure{engine_fault::Broken, Refusal->Message};
  return std::move(std::get<engine_event>(Opened));
}

void chat_run::addCost(const engine_finish &Finish) {
  if (const auto *Found = Request.Configuration->findVersion(Version))
    Cost += priceOf(*Found, Finish);
}

chat_event chat_run::finish(const engine_finish &Finish) {
  if (Attempt) {
    endAttempt(attempt_outcome::Answered, &Finish);
    addCost(Finish);
    offerRating(Finish, Shown);
  }
  leaveStage();
  bill Bill;
  Bill.Account = Request.Account.Id;
  Bill.Request = Request.Id;
  Bill.BodyFingerprint = Request.BodyFingerprint;
  Bill.Class = Request.Class.Id;
  Bill.Version = Version;
  Bill.PromptTokens = Finish.PromptTokens;
  Bill.CompletionTokens = Finish.CompletionTokens;
  if (const auto *Found = Request.Configuration->findVersion(Version))
    Bill.Price = priceOf(*Found, Finish);
  Bill.Cost = Cost;
  Bill.At = Services.Clock.wallNow();
  Bill.Vm = Services.Settings.Vm;
  const bool IsDurable = commitBill(Services, Bill);
  note(IsDurable ? "billed" : "bill not durable in time");
  if (!IsDurable) {
    Record.Outcome = "refused: bill_not_durable";
    MayHaveRun = true;
    return makeRefusal(503, "bill_not_durable",
                       "the bill could not be kept; a resend with the same id "
                       "is billed once",
                       RetryAfterFailure);
  }
  Record.Outcome = "answered by " + Version.text();
  Services.Metrics.increment("azurehaven_answers_total",
                             label("class", Request.Class.Id.text()) + "," +
                                 label("version", Version.text()));
  Services.Metrics.observe("azurehaven_answer_ms",
                           label("class", Request.Class.Id.text()),
                           since(Request.ArrivedAt, Services.Clock.now()));
  return chat_end{Version, Finish.PromptTokens, Finish.CompletionTokens,
                  Bill.Price};
}

void chat_run::offerRating(const engine_finish &Finish,
                           const std::string &Text) {
  rating_job Job;
  Job.Subject = {Version, Request.Class.Id};
  Job.Role = Role;
  Job.Confidence = ratedConfidence(Finish);
  Job.RequestId = Request.Id.text();
  Job.Prompt = Request.Body["messages"].back()["content"].get<std::string>();
  Job.Answer = Text;
  Services.Ratings.offer(std::move(Job), Services.Clock.now());
}

milliseconds chat_run::remaining() const {
  return std::chrono::duration_cast<milliseconds>(Request.Deadline -
                                                  Services.Clock.now());
}

http_timeouts chat_run::timeouts() const {
  // The library has one bound for all waits of a connection.
  const milliseconds FirstToken =
      std::max(LeastFirstTokenLimit,
               FirstTokenPatience * Request.Class.FirstTokenTarget);
  const milliseconds Silence = std::min(SilenceLimit, FirstToken);
  return {ConnectTimeout, std::clamp(remaining(), milliseconds(1), Silence)};
}

refusal chat_run::refusalAfter(const engine_failure &Failure) const {
  if (remaining() <= milliseconds(0))
    return makeRefusal(504, "deadline_exceeded", "the deadline has passed",
                       milliseconds(0));
  return makeRefusal(502, "endpoint_failed", Failure.Message,
                     RetryAfterFailure);
}

refusal chat_run::makeRefusal(int Status, const char *Code, std::string Message,
                              std::optional<milliseconds> RetryAfter) const {
  return {Status, Code, MayHaveRun ? run_state::MayHaveRun : run_state::NotRun,
          std::move(Message), RetryAfter};
}

refusal chat_run::refusalOf(const routing_refusal &Refusal) const {
  switch (Refusal.Reason) {
  case refusal_reason::VersionWithdrawn:
    return makeRefusal(410, "session_ended",
                       "the session's version is withdrawn or not allowed; "
                       "start a new session",
                       std::nullopt);
  case refusal_reason::NoAllowedVersion:
    return makeRefusal(403, "not_allowed",
                       "the account may use no version for this", std::nullopt);
  case refusal_reason::NoEndpoint:
    return makeRefusal(503, "no_endpoint", "no endpoint can take it now",
                       Refusal.RetryAfter);
  case refusal_reason::CrashCausing:
    return makeRefusal(422, "crash_causing",
                       "this request broke down two endpoints and is not run "
                       "again",
                       std::nullopt);
  case refusal_reason::Overloaded:
    return makeRefusal(429, "overloaded", "no place would be free in time",
                       Refusal.RetryAfter);
  }
  return makeRefusal(500, "internal", "unknown refusal", std::nullopt);
}

} // namespace azurehaven
