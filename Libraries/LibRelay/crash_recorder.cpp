#include "LibRelay/crash_recorder.h"

#include "LibRelay/alleged_crash.h"

namespace azurehaven {

namespace {

/// Events after which a response makes progress: its endpoint does not crash at
/// its begin.
constexpr std::uint64_t SoundResponseEvents = 3;

std::string describeSegments(const std::vector<prompt_segment> &Prompt) {
  std::string Text;
  for (const prompt_segment &Segment : Prompt)
    Text += (Text.empty() ? "" : ",") + Segment.Id;
  return Text;
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
    Fleet.PromptQuarantine.clearLocal(Admitted.SharedSegments, Now);
}

void crash_recorder::onComplete(steady_time Now) {
  Fleet.Quarantine.clear(Admitted.Fingerprint);
  Fleet.PromptQuarantine.clearLocal(Admitted.SharedSegments, Now);
}

void crash_recorder::recordUncounted(const char *Reason) const {
  Log.write(log_level::Info, "endpoint_crash_not_counted",
            {{"request", Admitted.Request.Id.text()},
             {"endpoint", processStartId(Endpoint).text()},
             {"reason", Reason}});
}

void crash_recorder::recordCrash(steady_time Now) {
  const bool WasQuarantined = isQuarantined();
  const endpoint_id ProcessStart = processStartId(Endpoint);
  Fleet.Quarantine.addLocal(Admitted.Fingerprint, ProcessStart, Now);
  // A request that still waits on the endpoint has not caused its crash, nor
  // has one whose response made progress.
  if (HasHead && Events < SoundResponseEvents)
    Fleet.PromptQuarantine.addLocal(Admitted.SharedSegments, ProcessStart, Now);
  recordAllegedCrash(Fleet, ProcessStart, Now);
  Log.write(log_level::Warning, "endpoint_crash_counted",
            {{"request", Admitted.Request.Id.text()},
             {"fingerprint", std::to_string(Admitted.Fingerprint)},
             {"endpoint", ProcessStart.text()},
             {"prompt", describeSegments(Admitted.Request.Prompt)},
             {"response_begun", HasHead ? "yes" : "no"},
             {"events", std::to_string(Events)}});
  if (!WasQuarantined && isQuarantined())
    Log.write(log_level::Warning, "request_quarantined",
              {{"request", Admitted.Request.Id.text()},
               {"fingerprint", std::to_string(Admitted.Fingerprint)}});
}

bool crash_recorder::isQuarantined() const {
  return Fleet.Quarantine.isQuarantined(Admitted.Fingerprint) ||
         Fleet.PromptQuarantine.isQuarantined(Admitted.SharedSegments);
}

} // namespace azurehaven
