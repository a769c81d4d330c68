#include "LibRelay/liveness_monitor.h"

namespace azurehaven {

namespace {

/// A plain service answers within some ten milliseconds.
constexpr milliseconds PlainSilence{300};
/// Silence after which an engine is asked, and how often it is asked again. A
/// long prompt keeps an engine silent for a second.
constexpr milliseconds EngineSilence{700};
constexpr milliseconds AskEvery{700};
constexpr milliseconds AskAgainAfterFailure{100};
/// An engine with a long queue turns connections away: one failed question
/// says little.
constexpr unsigned InspectionsToGiveUp = 2;
constexpr milliseconds CheckEvery{150};
/// An engine's report is this old when it arrives, at most.
constexpr milliseconds ReportLag{600};

} // namespace

liveness_monitor::liveness_monitor(relay_context &Context,
                                   std::shared_ptr<endpoint_record> Endpoint,
                                   request_id Id, bool IsEngine,
                                   unresponsive_handler Handler)
    : Context(Context), Endpoint(std::move(Endpoint)), Id(std::move(Id)),
      IsEngine(IsEngine), Handler(std::move(Handler)), Timer(Context.Executor),
      LastHeard(Context.Clock.now()) {}

void liveness_monitor::start() { waitAgain(); }

void liveness_monitor::stop() {
  Handler = nullptr;
  Timer.cancel();
}

void liveness_monitor::onBytesReceived(steady_time Now) {
  LastHeard = Now;
  ReportedEvents.reset();
}

void liveness_monitor::waitAgain() {
  Timer.expires_after(CheckEvery);
  Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
    if (!Code && Self->Handler)
      Self->check();
  });
}

void liveness_monitor::check() {
  const steady_time Now = Context.Clock.now();
  const auto Silence = Now - LastHeard;
  if (!IsEngine) {
    if (Silence >= PlainSilence)
      return giveUp("the endpoint is silent");
    return waitAgain();
  }
  if (Silence >= EngineSilence) {
    judgeReport(Now);
    if (!Handler)
      return;
    const milliseconds Pause =
        Endpoint->FailedInspections > 0 ? AskAgainAfterFailure : AskEvery;
    if (!Endpoint->IsBeingInspected && Now - Endpoint->ReportAt >= Pause)
      ask();
  }
  waitAgain();
}

void liveness_monitor::judgeReport(steady_time Now) {
  // Only a report made well after the silence began says anything of it.
  const bool IsTelling = Endpoint->Report &&
                         Endpoint->ReportAt > LastHeard + ReportLag &&
                         Now - Endpoint->ReportAt < AskEvery;
  if (!IsTelling)
    return;
  auto Run = Endpoint->Report->EventsByRequest.find(Id);
  const bool IsRunning = Run != Endpoint->Report->EventsByRequest.end();
  const auto Before = std::exchange(
      ReportedEvents,
      IsRunning ? std::optional<std::uint64_t>(Run->second) : std::nullopt);
  const bool IsNewReport =
      std::exchange(JudgedReport, Endpoint->ReportAt) != Endpoint->ReportAt;
  // Two reports since the last byte: between them the run went on or ended.
  if (!IsNewReport || !Before)
    return;
  if (IsRunning && Run->second > *Before)
    return giveUp("the connection is silent while the engine goes on");
  if (!IsRunning)
    return giveUp("the engine no longer runs the request");
}

void liveness_monitor::ask() {
  Endpoint->IsBeingInspected = true;
  Context.Metrics.increment("azurehaven_engine_inspections_total");
  Context.Inspector->inspect(
      Endpoint->Descriptor,
      [Endpoint = Endpoint, &Clock = Context.Clock,
       Weak = weak_from_this()](result<engine_report> Report) {
        Endpoint->IsBeingInspected = false;
        Endpoint->ReportAt = Clock.now();
        if (!isError(Report)) {
          Endpoint->FailedInspections = 0;
          Endpoint->Report =
              std::make_shared<const engine_report>(std::move(valueOf(Report)));
          return;
        }
        Endpoint->Report = nullptr;
        ++Endpoint->FailedInspections;
        if (auto Self = Weak.lock())
          Self->judgeFailedInspection();
      });
}

void liveness_monitor::judgeFailedInspection() {
  if (!Handler || Endpoint->FailedInspections < InspectionsToGiveUp)
    return;
  // Another request may have heard of the engine meanwhile.
  if (Context.Clock.now() - Endpoint->LastReceivedAt >= EngineSilence)
    giveUp("the engine does not respond");
}

void liveness_monitor::giveUp(const std::string &Reason) {
  if (auto Told = std::exchange(Handler, nullptr))
    Told(Reason);
}

} // namespace azurehaven
