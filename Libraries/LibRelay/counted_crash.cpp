#include "LibRelay/counted_crash.h"

#include "LibRelay/alleged_crash.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// The log's word for what the crash counts against.
const char *blamedBy(const observed_crash &Crash) {
  if (Crash.BlamedSegments.empty())
    return Crash.IsRequestBlamed ? "request" : "nothing";
  return Crash.CoincidentSince ? "segments_if_not_coincident" : "segments";
}

milliseconds coincidenceTime(const observed_crash &Crash) {
  if (!Crash.CoincidentSince)
    return milliseconds(0);
  // Zero would stand for a crash that is certain.
  const auto Time = std::chrono::duration_cast<milliseconds>(
      Crash.CrashedBy - *Crash.CoincidentSince);
  return std::clamp(Time, milliseconds(1),
                    milliseconds(crash_records::RetentionTime));
}

void blameRequest(fleet_state &Fleet, const event_log &Log,
                  const observed_crash &Crash) {
  const bool WasQuarantined = Fleet.Quarantine.isQuarantined(Crash.Fingerprint);
  const milliseconds CoincidenceTime = Crash.End == attempt_end::Unseen
                                           ? coincidenceTime(Crash)
                                           : milliseconds(0);
  Fleet.Quarantine.addLocal(Crash.Fingerprint, Crash.ProcessStart,
                            {Crash.CrashedBy, CoincidenceTime});
  if (!WasQuarantined && Fleet.Quarantine.isQuarantined(Crash.Fingerprint))
    Log.write(log_level::Warning, "request_quarantined",
              {{"request", Crash.Request.text()},
               {"fingerprint", std::to_string(Crash.Fingerprint.exact())},
               {"content", std::to_string(Crash.Fingerprint.content())}});
}

std::string describeSegments(const std::vector<prompt_segment> &Prompt) {
  std::string Text;
  for (const prompt_segment &Segment : Prompt)
    Text += (Text.empty() ? "" : ",") + Segment.Id;
  return Text;
}

} // namespace

void countCrash(fleet_state &Fleet, const event_log &Log,
                const observed_crash &Crash, const char *Evidence) {
  const milliseconds CoincidenceTime = coincidenceTime(Crash);
  Fleet.PromptQuarantine.addLocal(Crash.BlamedSegments, Crash.ProcessStart,
                                  {Crash.CrashedBy, CoincidenceTime});
  recordAllegedCrash(Fleet, Crash.ProcessStart, Crash.CrashedBy);
  Log.write(log_level::Warning, "endpoint_crash_counted",
            {{"request", Crash.Request.text()},
             {"fingerprint", std::to_string(Crash.Fingerprint.exact())},
             {"content", std::to_string(Crash.Fingerprint.content())},
             {"endpoint", Crash.ProcessStart.text()},
             {"evidence", Evidence},
             {"prompt", describeSegments(Crash.Prompt)},
             {"coincidence_ms", std::to_string(CoincidenceTime.count())},
             {"blamed", blamedBy(Crash)}});
  if (Crash.IsRequestBlamed)
    blameRequest(Fleet, Log, Crash);
}

void logUncountedCrash(const event_log &Log, const request_id &Request,
                       const endpoint_id &ProcessStart, const char *Reason) {
  Log.write(log_level::Info, "endpoint_crash_not_counted",
            {{"request", Request.text()},
             {"endpoint", ProcessStart.text()},
             {"reason", Reason}});
}

} // namespace azurehaven
