#include "LibEntry/crash_detector.h"

#include "LibEntry/engine_attempt.h"

#include <thread>

namespace azurehaven {

namespace {

constexpr milliseconds ProbeTimeout{300};
/// An engine that ends may accept a connection before it closes its listener.
constexpr unsigned MaximumProbes = 3;
constexpr milliseconds ProbePause{20};
/// Chunks after which a response makes progress: its engine does not crash at
/// its begin.
constexpr unsigned SoundResponseChunks = 3;

} // namespace

void crash_detector::onSent(const chosen_endpoint &NewEngine) {
  Engine = NewEngine;
  HasHead = false;
  TextCount = 0;
}

void crash_detector::onText() {
  if (++TextCount == SoundResponseChunks)
    Services.PromptCrashes.clear(Request.SharedSegments, Services.Clock.now());
}

void crash_detector::onComplete() {
  Services.PromptCrashes.clear(Request.SharedSegments, Services.Clock.now());
}

/// Asks again if the connection was closed, but not if the time was up.
result<endpoint_report> crash_detector::probe() const {
  const steady_time StartedAt = Services.Clock.now();
  for (unsigned Count = 1;; ++Count) {
    // A pooled connection may have broken in the crash, and tells nothing of
    // the engine that listens now.
    auto Report = fetchEndpointReport(Services.Transport, Engine.Address,
                                      ProbeTimeout, connection_use::Fresh);
    const bool IsKnown =
        !isError(Report) || errorOf(Report).Code != error_code::OutcomeUnknown;
    if (IsKnown || Count == MaximumProbes ||
        Services.Clock.now() - StartedAt >= ProbeTimeout)
      return Report;
    std::this_thread::sleep_for(ProbePause);
  }
}

bool crash_detector::detectCrash() {
  const std::string BootId = Services.Router.bootIdOf(Engine.Id);
  const auto Report = probe();
  // An engine that accepts connections still runs, however late or badly it
  // responds.
  const bool HasCrashed = isError(Report)
                              ? errorOf(Report).Code == error_code::Unavailable
                              : valueOf(Report).BootId != BootId;
  // A VM that reaches no endpoint at all can't tell.
  if (!HasCrashed || Services.Router.reachesNoEndpoint())
    return false;
  const steady_time Now = Services.Clock.now();
  Services.Router.addCrash({Request.CrashFingerprint, Engine.Id}, Now);
  // A request that still waits on the engine has not caused its crash, nor has
  // one whose response made progress.
  const bool IsSuspect = HasHead && TextCount < SoundResponseChunks;
  if (IsSuspect)
    Services.PromptCrashes.addCrash(Request.SharedSegments, Engine.Id, BootId,
                                    Now);
  Services.Log.write(log_level::Warning, "endpoint_crashed",
                     {{"request", Request.Id.text()},
                      {"endpoint", Engine.Id.text()},
                      {"boot_id", BootId},
                      {"prompt_suspected", IsSuspect ? "yes" : "no"}});
  Services.Metrics.increment("azurehaven_endpoint_crashes_total");
  Services.SendHeartbeatsNow();
  return true;
}

std::optional<refusal_reason> crash_detector::refusalReason() const {
  if (Services.Router.crashStatusOf(Request.CrashFingerprint) ==
      crash_status::Refused)
    return refusal_reason::CrashCausing;
  if (Services.PromptCrashes.isQuarantined(Request.SharedSegments))
    return refusal_reason::PromptCrashCausing;
  return std::nullopt;
}

} // namespace azurehaven
