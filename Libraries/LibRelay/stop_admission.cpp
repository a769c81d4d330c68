#include "LibRelay/stop_admission.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Remaining requests get a final response this long before the process is
/// killed.
constexpr milliseconds FinalResponseMargin{800};
/// Streams are admitted for this long after a planned stop begins; later ones
/// would be cut off when the process exits.
constexpr milliseconds StreamAdmissionTime{3000};
/// Time that a plain request is given at least, whatever its route usually
/// takes.
constexpr milliseconds MinimumResponseTime{1000};

/// A response may take somewhat longer than the longest one so far.
constexpr double LongestFactor = 1.25;
/// Other VMs take the request at once.
constexpr milliseconds StoppingRetryAfter{50};

milliseconds sinceStop(const fleet_state &Fleet, steady_time Now) {
  return std::chrono::duration_cast<milliseconds>(Now - Fleet.StoppingSince);
}

/// Time within which a plain response of the route can be expected.
milliseconds neededResponseTime(const fleet_state &Fleet, const route &Route) {
  const double LongestMs =
      Fleet.LatencyBaseline.longestMs(Route.Name, model_id()).value_or(0);
  return std::max(MinimumResponseTime,
                  milliseconds(std::llround(LongestFactor * LongestMs)));
}

} // namespace

milliseconds timeUntilForcedEnd(const fleet_state &Fleet, steady_time Now) {
  return Fleet.StopGrace - FinalResponseMargin - sinceStop(Fleet, Now);
}

bool isAdmittedDuringStop(const fleet_state &Fleet, const route &Route,
                          milliseconds TimeLimit, steady_time Now) {
  if (!Fleet.IsStopping)
    return true;
  if (Route.Kind == route_kind::Stream)
    return sinceStop(Fleet, Now) <= StreamAdmissionTime;
  const milliseconds Needed =
      std::min(TimeLimit, neededResponseTime(Fleet, Route));
  return Needed <= timeUntilForcedEnd(Fleet, Now);
}

error_response stoppingErrorResponse(bool MayHaveRun) {
  if (MayHaveRun)
    return errorResponseFor(MayHaveRun, "stopping");
  return {503, StoppingRetryAfter, "stopping"};
}

} // namespace azurehaven
