#include "Soak/history_query.h"
#include "Soak/soak_cluster.h"

#include <algorithm>

namespace azurehaven::platform {

namespace {

/// The longest time from a request to the end of its connection, if a process
/// that stops has not read it (`lost_ms`).
constexpr milliseconds LostBound{200};
/// How long after a fault on its link an endpoint may still break off
/// (`contact_ms`).
constexpr milliseconds ContactBound{3000};
/// A request that was sent later than this after SIGTERM is refused in time.
constexpr milliseconds StopLeadTime{3000};

/// Whether the process was killed meanwhile, or paused until the caller left.
bool hasProcessFault(const soak_history &History, const caller_record &Record) {
  return hasOverlappingFault(
      History, Record.SentAt, Record.EndedAt,
      [&](const fault_interval &Fault) {
        const bool IsPauseOfLeft =
            Fault.Kind == fault_kind::Pause && Record.HasCallerLeft;
        return Fault.Target == Record.Entry &&
               (Fault.Kind == fault_kind::Process || IsPauseOfLeft);
      },
      milliseconds(0));
}

/// Whether an endpoint that worked on the request had a fault.
bool hasEndpointFault(const soak_history &History,
                      const caller_record &Record) {
  const auto Found = History.Runs.find(Record.Id);
  if (Found == History.Runs.end())
    return false;
  const char *Service =
      Record.Kind == request_kind::Stream ? EngineService : PlainService;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const endpoint_run &Run) {
                       return hasOverlappingFault(
                           History, Record.SentAt, Record.EndedAt,
                           [&](const fault_interval &Fault) {
                             return Fault.Kind == fault_kind::Endpoint &&
                                    (Fault.Target == targetOf(Run.Endpoint) ||
                                     Fault.Target == Service);
                           },
                           ContactBound);
                     });
}

/// Whether the response had begun and the deadline or its route's timeout ended
/// it.
bool hasReachedDeadline(const caller_record &Record) {
  const milliseconds Timeout = Record.Kind == request_kind::Stream
                                   ? ShortestStreamTimeout
                                   : ShortestPlainTimeout;
  return Record.Status == 200 &&
         Record.EndedAt - Record.SentAt >= std::min(Record.Deadline, Timeout);
}

/// Whether a planned stop excuses it: the request crossed the end of its
/// connection, or the endpoint was still at work in the last sixth of the
/// grace period.
bool hasCrossedStop(const soak_history &History, const caller_record &Record) {
  return std::any_of(
      History.FaultIntervals.begin(), History.FaultIntervals.end(),
      [&](const fault_interval &Fault) {
        if (Fault.Kind != fault_kind::Stop || Fault.Target != Record.Entry ||
            Fault.From > Record.EndedAt || Record.SentAt > Fault.To)
          return false;
        if (runCount(History, Record.Id) > 0)
          return Record.SentAt <= Fault.From + StopLeadTime &&
                 Record.EndedAt >= Fault.From + StopGrace * 5 / 6;
        return Record.Status == 0 &&
               (!Record.IsSentWhole ||
                Record.EndedAt - Record.SentAt <= LostBound);
      });
}

/// From this time on the limits that the operator wrote may have been in force
/// while the connection rested. Without the store, or while it stands still, a
/// process may apply an older one.
steady_time limitsSince(const soak_history &History,
                        const caller_record &Record) {
  steady_time Since = Record.SentAt - Record.Rested - ConfigurationBound;
  // The intervals are in the order of their beginnings.
  for (auto Fault = History.FaultIntervals.rbegin();
       Fault != History.FaultIntervals.rend(); ++Fault) {
    const bool IsOfEntry = Fault->Target.empty()
                               ? Fault->Kind == fault_kind::Store
                               : Fault->Target == Record.Entry;
    if (IsOfEntry && Fault->From <= Record.EndedAt && Since <= Fault->To)
      Since = std::min(Since, Fault->From - ConfigurationBound);
  }
  return Since;
}

/// Whether the process may have closed the connection for its idle time before
/// it read the request.
bool hasCrossedIdleClose(const soak_history &History,
                         const caller_record &Record) {
  if (Record.Status != 0 || !Record.WasKept || runCount(History, Record.Id) > 0)
    return false;
  const milliseconds Limit = shortestWithin(
      History.IdleLimits, limitsSince(History, Record), Record.EndedAt);
  return Record.Rested >= idleShare(Limit);
}

/// An earlier build is excused by any fault.
bool isExcusedForPreviousBuild(const soak_history &History,
                               const caller_record &Record) {
  return wasSentToPreviousBuild(History, Record) &&
         hasOverlappingFault(History, Record.SentAt, Record.EndedAt,
                             isNotPlannedStop);
}

std::string describeMissing(const soak_history &History,
                            const caller_record &Record) {
  const auto Took =
      std::chrono::duration_cast<milliseconds>(Record.EndedAt - Record.SentAt);
  const std::string What = Record.Status == 0 ? "no answer to a request"
                                              : "a response was broken off";
  return What + ": " + describe(Record) +
         (Record.WasKept ? ", connection at rest for " +
                               std::to_string(Record.Rested.count()) + " ms"
                         : ", new connection") +
         (Record.IsSentWhole ? "" : ", not sent whole") +
         (Record.HasCallerLeft ? ", the caller left" : "") + ", after " +
         std::to_string(Took.count()) + " ms, executions " +
         std::to_string(runCount(History, Record.Id));
}

} // namespace

std::vector<std::string> findMissingAnswers(const soak_history &History) {
  std::vector<std::string> Violations;
  for (const auto &Record : History.Records) {
    const bool IsExcused = Record.IsWhole || hasProcessFault(History, Record) ||
                           hasEndpointFault(History, Record) ||
                           hasReachedDeadline(Record) ||
                           hasCrossedStop(History, Record) ||
                           hasCrossedIdleClose(History, Record) ||
                           isExcusedForPreviousBuild(History, Record);
    if (!IsExcused)
      Violations.push_back(describeMissing(History, Record));
  }
  return Violations;
}

} // namespace azurehaven::platform
