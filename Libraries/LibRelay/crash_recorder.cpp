#include "LibRelay/crash_recorder.h"

#include "LibRelay/alleged_crash.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Events after which a response makes progress: its endpoint does not crash at
/// its begin.
constexpr std::uint64_t SoundResponseEvents = 3;
/// Within this time a lost path is noticed.
constexpr milliseconds ConfirmationTime{1000};
constexpr std::size_t MaximumUnconfirmed = 4096;

std::string describeSegments(const std::vector<prompt_segment> &Prompt) {
  std::string Text;
  for (const prompt_segment &Segment : Prompt)
    Text += (Text.empty() ? "" : ",") + Segment.Id;
  return Text;
}

void logUncounted(const event_log &Log, const request_id &Request,
                  const endpoint_id &ProcessStart, const char *Reason) {
  Log.write(log_level::Info, "endpoint_crash_not_counted",
            {{"request", Request.text()},
             {"endpoint", ProcessStart.text()},
             {"reason", Reason}});
}

void countCrash(fleet_state &Fleet, const event_log &Log,
                const observed_crash &Crash, steady_time Now) {
  const bool WasQuarantined = Fleet.Quarantine.isQuarantined(Crash.Fingerprint);
  Fleet.Quarantine.addLocal(Crash.Fingerprint, Crash.ProcessStart, Now);
  Fleet.PromptQuarantine.addLocal(Crash.BlamedSegments, Crash.ProcessStart,
                                  Now);
  recordAllegedCrash(Fleet, Crash.ProcessStart, Now);
  Log.write(
      log_level::Warning, "endpoint_crash_counted",
      {{"request", Crash.Request.text()},
       {"fingerprint", std::to_string(Crash.Fingerprint)},
       {"endpoint", Crash.ProcessStart.text()},
       {"prompt", describeSegments(Crash.Prompt)},
       {"blamed", Crash.BlamedSegments.empty() ? "request" : "segments"}});
  if (!WasQuarantined && Fleet.Quarantine.isQuarantined(Crash.Fingerprint))
    Log.write(log_level::Warning, "request_quarantined",
              {{"request", Crash.Request.text()},
               {"fingerprint", std::to_string(Crash.Fingerprint)}});
}

} // namespace

void crash_recorder::onSent(const endpoint_descriptor &NewEndpoint,
                            std::uint64_t KnownEvents) {
  Endpoint = NewEndpoint;
  EventsBefore = KnownEvents;
  Events = 0;
  HasHead = false;
}

void crash_recorder::onEvents(std::uint64_t EventCount, steady_time Now) {
  const bool WasSound = Events >= SoundResponseEvents;
  Events = EventCount - EventsBefore;
  if (!WasSound && Events >= SoundResponseEvents)
    clearSegments(Now);
}

void crash_recorder::onComplete(steady_time Now) {
  Fleet.Quarantine.clear(Admitted.Fingerprint);
  std::erase_if(Fleet.UnconfirmedCrashes, [&](const observed_crash &Crash) {
    return Crash.Fingerprint == Admitted.Fingerprint;
  });
  clearSegments(Now);
}

void crash_recorder::clearSegments(steady_time Now) {
  const std::vector<segment_key> &Sound = Admitted.SharedSegments;
  Fleet.PromptQuarantine.clearLocal(Sound, Now);
  for (observed_crash &Crash : Fleet.UnconfirmedCrashes)
    std::erase_if(Crash.BlamedSegments, [&](segment_key Segment) {
      return std::find(Sound.begin(), Sound.end(), Segment) != Sound.end();
    });
}

void crash_recorder::recordUncounted(const char *Reason) const {
  logUncounted(Log, Admitted.Request.Id, processStartId(Endpoint), Reason);
}

observed_crash crash_recorder::observedAt(steady_time Now) const {
  observed_crash Crash;
  Crash.Request = Admitted.Request.Id;
  Crash.Service = Admitted.Service;
  Crash.Fingerprint = Admitted.Fingerprint;
  Crash.ProcessStart = processStartId(Endpoint);
  Crash.Prompt = Admitted.Request.Prompt;
  Crash.At = Now;
  // A request that still waits on the endpoint has not caused its crash, nor
  // has one whose response made progress.
  if (HasHead && Events < SoundResponseEvents)
    Crash.BlamedSegments = Admitted.SharedSegments;
  return Crash;
}

void crash_recorder::recordCrash(steady_time Now) {
  countCrash(Fleet, Log, observedAt(Now), Now);
}

void crash_recorder::recordUnresponsive(steady_time Now) {
  if (Fleet.UnconfirmedCrashes.size() >= MaximumUnconfirmed)
    return recordUncounted("too_many");
  Fleet.UnconfirmedCrashes.push_back(observedAt(Now));
}

void confirmCrashes(fleet_state &Fleet, const event_log &Log, steady_time Now) {
  auto &Crashes = Fleet.UnconfirmedCrashes;
  while (!Crashes.empty() && Now - Crashes.front().At >= ConfirmationTime) {
    const observed_crash Crash = std::move(Crashes.front());
    Crashes.pop_front();
    const auto Endpoint = Fleet.Endpoints.findProcessStart(Crash.ProcessStart);
    if (Fleet.Paths.isLost(Crash.Service))
      logUncounted(Log, Crash.Request, Crash.ProcessStart, "path_lost");
    else if (Endpoint && Endpoint->LastReceivedAt > Crash.At)
      logUncounted(Log, Crash.Request, Crash.ProcessStart, "silent");
    else
      countCrash(Fleet, Log, Crash, Now);
  }
}

bool crash_recorder::isQuarantined() const {
  return Fleet.Quarantine.isQuarantined(Admitted.Fingerprint) ||
         Fleet.PromptQuarantine.isQuarantined(Admitted.SharedSegments);
}

} // namespace azurehaven
