#include "LibRelay/counted_crash.h"

#include "LibRelay/alleged_crash.h"

namespace azurehaven {

namespace {

std::string describeSegments(const std::vector<prompt_segment> &Prompt) {
  std::string Text;
  for (const prompt_segment &Segment : Prompt)
    Text += (Text.empty() ? "" : ",") + Segment.Id;
  return Text;
}

} // namespace

void countCrash(fleet_state &Fleet, const event_log &Log,
                const observed_crash &Crash, const char *Evidence,
                steady_time Now) {
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
       {"evidence", Evidence},
       {"prompt", describeSegments(Crash.Prompt)},
       {"blamed", Crash.BlamedSegments.empty() ? "request" : "segments"}});
  if (!WasQuarantined && Fleet.Quarantine.isQuarantined(Crash.Fingerprint))
    Log.write(log_level::Warning, "request_quarantined",
              {{"request", Crash.Request.text()},
               {"fingerprint", std::to_string(Crash.Fingerprint)}});
}

void logUncountedCrash(const event_log &Log, const request_id &Request,
                       const endpoint_id &ProcessStart, const char *Reason) {
  Log.write(log_level::Info, "endpoint_crash_not_counted",
            {{"request", Request.text()},
             {"endpoint", ProcessStart.text()},
             {"reason", Reason}});
}

} // namespace azurehaven
