#include "LibRelay/alleged_crash.h"

namespace azurehaven {

namespace {

/// A connection is established within this time of its creation, or not at all.
constexpr milliseconds LongestConnect{500};

} // namespace

void recordAllegedCrash(fleet_state &Fleet, const endpoint_id &ProcessStart,
                        steady_time At) {
  const auto Endpoint = Fleet.Endpoints.findProcessStart(ProcessStart);
  if (!Endpoint)
    return;
  std::optional<steady_time> &Latest = Endpoint->AllegedCrashAt;
  Latest = std::max(Latest.value_or(At), At);
}

void refuteAllegedCrash(relay_context &Context, endpoint_record &Endpoint,
                        steady_time ConnectionCreatedAt, steady_time SentAt,
                        steady_time Now) {
  if (!Endpoint.AllegedCrashAt)
    return;
  // An id may be used again by a later start, and bytes that came before the
  // crash may be read after it. Neither holds for the response to a request
  // that was sent after the crash on a connection from before it.
  const steady_time CrashAt = *Endpoint.AllegedCrashAt;
  const bool LivedOn =
      ConnectionCreatedAt + LongestConnect < CrashAt && SentAt > CrashAt;
  if (!LivedOn)
    return;
  Endpoint.AllegedCrashAt.reset();
  const endpoint_id Start = processStartId(Endpoint.Descriptor);
  const bool WasRequest = Context.Fleet.Quarantine.refuteEndpoint(Start);
  const bool WasSegment =
      Context.Fleet.PromptQuarantine.refuteEndpoint(Start, Now);
  if (WasRequest || WasSegment)
    Context.Log.write(log_level::Info, "endpoint_crash_refuted",
                      {{"endpoint", Start.text()}});
}

} // namespace azurehaven
