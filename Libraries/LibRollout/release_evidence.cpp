#include "LibRollout/release_evidence.h"

namespace azurehaven {

namespace {

/// The VM that counted and those that it told forget the counts at about the
/// same time.
constexpr std::chrono::minutes Lifetime{2};

/// Removes the counts that have expired from Counts and from the totals.
template <typename counts, typename key_of>
void expireCounts(counts &Counts, evidence_totals &Totals, key_of KeyOf,
                  steady_time Now) {
  std::erase_if(Counts, [&](const auto &Entry) {
    if (Now - Entry.second.ChangedAt < Lifetime)
      return false;
    const auto Total = Totals.find(KeyOf(Entry.first));
    Total->second = Total->second.since(Entry.second.Outcomes);
    if (Total->second.total() == 0)
      Totals.erase(Total);
    return true;
  });
}

} // namespace

void release_evidence::addFailure(const evidence_key &Key, steady_time Now) {
  counted &Counted = Local[Key];
  Counted.Outcomes.addFailure();
  Counted.ChangedAt = Now;
  Totals[Key].addFailure();
}

void release_evidence::addSuccess(const evidence_key &Key, double LatencyMs,
                                  steady_time Now) {
  counted &Counted = Local[Key];
  Counted.Outcomes.addSuccess(LatencyMs);
  Counted.ChangedAt = Now;
  Totals[Key].addSuccess(LatencyMs);
}

void release_evidence::merge(const vm_id &Origin, std::uint64_t Incarnation,
                             const evidence_report &Report, steady_time Now) {
  if (Report.Outcomes.total() == 0)
    return;
  counted &Known = Remote[{Origin, Incarnation, Report.Key}];
  if (Report.Outcomes.total() <= Known.Outcomes.total())
    return;
  Totals[Report.Key] += Report.Outcomes.since(Known.Outcomes);
  Known = {Report.Outcomes, Now};
}

void release_evidence::expire(steady_time Now) {
  expireCounts(
      Local, Totals, [](const evidence_key &Key) { return Key; }, Now);
  expireCounts(
      Remote, Totals,
      [](const origin_key &Key) { return std::get<evidence_key>(Key); }, Now);
}

std::vector<evidence_report> release_evidence::localReports() const {
  std::vector<evidence_report> Reports;
  for (const auto &[Key, Counted] : Local)
    Reports.push_back({Key, Counted.Outcomes});
  return Reports;
}

evidence_totals release_evidence::totals(const service_id &Service) const {
  evidence_totals OfService;
  for (const auto &[Key, Outcomes] : Totals)
    if (Key.Service == Service)
      OfService.emplace(Key, Outcomes);
  return OfService;
}

} // namespace azurehaven
