#include "LibRelay/evidence_exchange.h"

#include <optional>

namespace azurehaven {

namespace {

release_outcomes_notice noticeOf(const evidence_report &Report) {
  const outcome_histogram &Outcomes = Report.Outcomes;
  release_outcomes_notice Notice{Report.Key.Service,
                                 Report.Key.Release,
                                 Report.Key.Route,
                                 Report.Key.Endpoint,
                                 Outcomes.failures(),
                                 0,
                                 {}};
  std::size_t End = outcome_histogram::LatencyBuckets;
  while (End > 0 && Outcomes.successes(End - 1) == 0)
    --End;
  std::size_t First = 0;
  while (First < End && Outcomes.successes(First) == 0)
    ++First;
  Notice.FirstBucket = static_cast<std::uint8_t>(First);
  for (std::size_t Bucket = First; Bucket < End; ++Bucket)
    Notice.Successes.push_back(Outcomes.successes(Bucket));
  return Notice;
}

std::optional<evidence_report> reportOf(const release_outcomes_notice &Notice) {
  const std::size_t End = Notice.FirstBucket + Notice.Successes.size();
  if (End > outcome_histogram::LatencyBuckets)
    return std::nullopt;
  evidence_report Report{
      {Notice.Service, Notice.Release, Notice.Route, Notice.Endpoint}, {}};
  Report.Outcomes.setFailures(Notice.Failures);
  for (std::size_t Index = 0; Index < Notice.Successes.size(); ++Index)
    Report.Outcomes.setSuccesses(Notice.FirstBucket + Index,
                                 Notice.Successes[Index]);
  return Report;
}

} // namespace

std::vector<release_outcomes_notice> evidence_exchange::notices(bool SendsAll) {
  std::vector<release_outcomes_notice> Notices;
  for (const evidence_report &Report : Evidence.localReports()) {
    const bool IsSent = Sent[Report.Key] == Report.Outcomes;
    if (IsSent && !SendsAll)
      continue;
    Sent[Report.Key] = Report.Outcomes;
    Notices.push_back(noticeOf(Report));
  }
  return Notices;
}

void evidence_exchange::onNotices(
    const vm_id &Sender, std::uint64_t Incarnation,
    const std::vector<release_outcomes_notice> &Notices, steady_time Now) {
  for (const release_outcomes_notice &Notice : Notices) {
    if (const auto Report = reportOf(Notice)) {
      Evidence.merge(Sender, Incarnation, *Report, Now);
      continue;
    }
    Log.write(log_level::Warning, "release_outcomes_malformed",
              {{"sender", Sender.text()}, {"service", Notice.Service.text()}});
  }
}

void evidence_exchange::expire(steady_time Now) {
  Evidence.expire(Now);
  if (Evidence.localReports().empty())
    Sent.clear();
}

} // namespace azurehaven
