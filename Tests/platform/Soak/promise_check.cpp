#include "Soak/promise_check.h"

#include "Soak/history_query.h"
#include "Soak/soak_cluster.h"

#include <algorithm>
#include <set>

namespace azurehaven::platform {

namespace {

/// Delay that the caller threads of this program may add on a busy machine.
constexpr milliseconds CallerSlack{1000};
/// How long an endpoint may go on with a stream that another one has taken
/// over.
constexpr milliseconds OverlapBound{400};

using violations = std::vector<std::string>;

std::string expectedBody(const caller_record &Record) {
  if (Record.Kind != request_kind::Stream)
    return responseText(Record.Id.text());
  std::string Body;
  for (std::uint64_t Number = 1; Number <= StreamEvents; ++Number)
    Body += eventText(Record.Id.text(), Number);
  return Body;
}

void checkAtMostOnce(const soak_history &History, violations &Violations) {
  for (const auto &Record : History.Records) {
    const std::size_t Count = runCount(History, Record.Id);
    if (Record.Kind == request_kind::Booking && Count > 1)
      Violations.push_back("executed more than once: " + describe(Record) +
                           ", executions " + std::to_string(Count));
  }
}

void checkNotExecuted(const soak_history &History, violations &Violations) {
  static const std::set<int> NotExecutedStatuses = {408, 421, 429, 503};
  for (const auto &Record : History.Records)
    if (NotExecutedStatuses.contains(Record.Status) &&
        runCount(History, Record.Id) > 0)
      Violations.push_back("executed despite a not-executed response: " +
                           describe(Record));
}

void checkResponses(const soak_history &History, violations &Violations) {
  for (const auto &Record : History.Records) {
    if (Record.Status != 200)
      continue;
    const std::string Wanted = expectedBody(Record);
    const bool IsGood = Record.IsWhole ? Record.Body == Wanted
                                       : Wanted.starts_with(Record.Body);
    if (!IsGood)
      Violations.push_back("wrong response: " + describe(Record) + ", " +
                           std::to_string(Record.Body.size()) + " of " +
                           std::to_string(Wanted.size()) + " bytes" +
                           (Record.IsWhole ? ", complete" : ", truncated"));
  }
}

void checkDeadlines(const soak_history &History, violations &Violations) {
  for (const auto &Record : History.Records) {
    if (Record.EndedAt - Record.SentAt <= Record.Deadline + CallerSlack)
      continue;
    const auto IsProcessFault = [&](const fault_interval &Fault) {
      return Fault.Target == Record.Entry && isProcessFault(Fault.Kind);
    };
    if (!hasOverlappingFault(History, Record.SentAt, Record.EndedAt,
                             IsProcessFault))
      Violations.push_back("no response within the deadline: " +
                           describe(Record));
  }
}

void checkRevocations(const soak_history &History, violations &Violations) {
  for (const auto &Revocation : History.Revocations) {
    auto RestoredAt = steady_time::max();
    for (const auto &Restoration : History.Restorations)
      if (Restoration.Target == Revocation.Target &&
          Restoration.At > Revocation.At)
        RestoredAt = std::min(RestoredAt, Restoration.At);
    for (const auto &[Id, Runs] : History.Runs)
      for (const auto &Run : Runs)
        if (Run.Account == Revocation.Target &&
            Run.StartedAt > Revocation.At + RevokeBound &&
            Run.StartedAt < RestoredAt &&
            startWithoutStandstill(History, Id, Run) >
                Revocation.At + RevokeBound)
          Violations.push_back("executed with a revoked key: " + Id.text());
  }
}

void checkDrains(const soak_history &History, violations &Violations) {
  for (const auto &DrainStart : History.DrainStarts)
    for (const auto &[Id, Runs] : History.Runs)
      for (const auto &Run : Runs) {
        if (Run.Endpoint != DrainStart.Target ||
            Run.StartedAt <= DrainStart.At + DrainBound ||
            startWithoutStandstill(History, Id, Run) <=
                DrainStart.At + DrainBound)
          continue;
        // The entry process that sent the request isn't known, so any
        // overlapping fault but a planned stop is an excuse.
        if (!hasOverlappingFault(History, DrainStart.At, Run.StartedAt,
                                 isNotPlannedStop))
          Violations.push_back("sent to a draining endpoint: " + Id.text());
      }
}

std::size_t countWithin(const std::vector<steady_time> &Times,
                        steady_time From) {
  const auto First = std::lower_bound(Times.begin(), Times.end(), From);
  return static_cast<std::size_t>(
      std::lower_bound(First, Times.end(), From + RetryWindow) - First);
}

/// The requests that callers sent for the service, in order of time.
std::vector<steady_time> requestTimes(const soak_history &History,
                                      const std::string &Service) {
  std::vector<steady_time> Times;
  for (const auto &Record : History.Records) {
    const bool IsForEngines = Record.Kind == request_kind::Stream;
    if (IsForEngines == (Service == EngineService))
      Times.push_back(Record.SentAt);
  }
  std::sort(Times.begin(), Times.end());
  return Times;
}

void checkRetryBudget(const soak_history &History, const std::string &Service,
                      violations &Violations) {
  const std::vector<steady_time> Requests = requestTimes(History, Service);
  std::vector<steady_time> Retries;
  std::set<request_id> Seen;
  for (const auto &Arrival : History.Arrivals)
    if (Arrival.Service == Service && !Seen.insert(Arrival.Request).second)
      Retries.push_back(Arrival.At);
  for (const steady_time From : Retries) {
    const std::size_t Asked =
        std::max({countWithin(Requests, From),
                  countWithin(Requests, From - RetryWindow / 2),
                  countWithin(Requests, From - RetryWindow)});
    const double Allowed = RetryRatio * static_cast<double>(Asked) + RetrySlack;
    const std::size_t Count = countWithin(Retries, From);
    if (static_cast<double>(Count) <= Allowed)
      continue;
    Violations.push_back("retry budget of " + Service +
                         " exceeded: " + std::to_string(Count) +
                         " retries, allowed " + std::to_string(Allowed));
    return;
  }
}

void checkOverlappingRuns(const soak_history &History, violations &Violations) {
  for (const auto &Record : History.Records) {
    const auto Found = History.Runs.find(Record.Id);
    if (Record.Kind != request_kind::Stream || Found == History.Runs.end())
      continue;
    const auto &Runs = Found->second;
    for (std::size_t Index = 1; Index < Runs.size(); ++Index) {
      const endpoint_run &Before = Runs[Index - 1];
      const endpoint_run &After = Runs[Index];
      const steady_time Until = After.StartedAt + OverlapBound;
      // A link may hold back the begin of a run as well as its end.
      const auto IsExcuse = [&](const fault_interval &Fault) {
        return Fault.Target == targetOf(Before.Endpoint) ||
               Fault.Target == targetOf(After.Endpoint) ||
               Fault.Target == Record.Entry;
      };
      // A run that began after a standstill may have been left before it began.
      const bool MayBeLeft =
          startWithoutStandstill(History, Record.Id, After) < After.StartedAt;
      const steady_time EndedAt =
          MayBeLeft ? std::min(Before.EndedAt, After.EndedAt) : Before.EndedAt;
      // An endpoint that stands still doesn't work on it.
      const bool IsOverlapping =
          EndedAt > Until && awakeTime(History, Before.Endpoint,
                                       After.StartedAt, EndedAt) > OverlapBound;
      if (IsOverlapping &&
          !hasOverlappingFault(History, Before.StartedAt, Until, IsExcuse))
        Violations.push_back("a stream ran on two endpoints at once: " +
                             describe(Record));
    }
  }
}

/// A request that could not be finished before a planned stop should have been
/// refused before it was sent.
void checkPlannedStops(const soak_history &History, violations &Violations) {
  for (const auto &Record : History.Records) {
    const bool IsGivenUp = Record.Kind != request_kind::Stream &&
                           Record.Status == 502 &&
                           runCount(History, Record.Id) > 0;
    if (IsGivenUp && !wasSentToPreviousBuild(History, Record) &&
        !hasOverlappingFault(History, Record.SentAt, Record.EndedAt,
                             isNotPlannedStop))
      Violations.push_back("given up after it was sent: " + describe(Record));
  }
}

/// Whether the bill of this request may be lost: after the request was sent,
/// its entry process was killed or paused, or stopped during a fault of the
/// store.
bool mayLoseBill(const soak_history &History, const caller_record &Record) {
  for (const auto &Fault : History.FaultIntervals) {
    const bool IsLater = Fault.To >= Record.SentAt;
    const bool IsOfEntry = Fault.Target == Record.Entry;
    if (isProcessFault(Fault.Kind) && IsOfEntry && IsLater)
      return true;
    if (Fault.Kind != fault_kind::Stop || !IsOfEntry || !IsLater)
      continue;
    const auto IsStoreFault = [&](const fault_interval &Other) {
      return Other.Kind == fault_kind::Store &&
             (Other.Target.empty() || Other.Target == Record.Entry);
    };
    if (hasOverlappingFault(History, Fault.From, Fault.To, IsStoreFault))
      return true;
  }
  return false;
}

void checkBills(const soak_history &History, violations &Violations) {
  std::set<std::string> Billed;
  for (const auto &[Key, Bill] : History.Ledger) {
    if (!Billed.insert(Bill.Request.text()).second)
      Violations.push_back("billed twice: " + Bill.Request.text());
    if (runCount(History, Bill.Request) == 0)
      Violations.push_back("billed without an execution: " +
                           Bill.Request.text());
  }
  for (const auto &Record : History.Records) {
    const bool IsSuccessful = Record.Status == 200 && Record.IsWhole;
    if (IsSuccessful && !Billed.contains(Record.Id.text()) &&
        !mayLoseBill(History, Record))
      Violations.push_back("not billed: " + describe(Record));
  }
}

} // namespace

std::vector<std::string> findBrokenPromises(const soak_history &History) {
  violations Violations;
  checkAtMostOnce(History, Violations);
  checkNotExecuted(History, Violations);
  checkResponses(History, Violations);
  checkDeadlines(History, Violations);
  checkRevocations(History, Violations);
  checkDrains(History, Violations);
  checkBills(History, Violations);
  for (const char *Service : {PlainService, EngineService})
    checkRetryBudget(History, Service, Violations);
  checkOverlappingRuns(History, Violations);
  checkPlannedStops(History, Violations);
  for (auto &Violation : findMissingAnswers(History))
    Violations.push_back(std::move(Violation));
  return Violations;
}

} // namespace azurehaven::platform
