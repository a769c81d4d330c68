#include "LibDispatch/release_statistics.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Number of standard deviations that count as significant. A false positive
/// rolls back a good release.
constexpr double SignificanceDeviations = 4;
/// Fewest bad outcomes for a verdict.
constexpr std::uint32_t MinimumBadOutcomes = 4;
/// Lower bound of the baseline rate: a few failures happen to any release.
constexpr double MinimumBaselineRate = 0.03;
/// Weight of the minimum rate in the estimated baseline, in requests.
constexpr double PriorRequests = 20;

double baselineRate(std::uint32_t Bad, std::uint32_t Total) {
  return std::max(MinimumBaselineRate,
                  (Bad + MinimumBaselineRate * PriorRequests) /
                      (Total + PriorRequests));
}

} // namespace

release_counts &release_counts::operator+=(const release_counts &Other) {
  Requests += Other.Requests;
  Failures += Other.Failures;
  Slow += Other.Slow;
  Attempts += Other.Attempts;
  return *this;
}

bool isSignificantlyAbove(std::uint32_t Bad, std::uint32_t Total,
                          double BaselineRate) {
  if (Bad < MinimumBadOutcomes || Total == 0)
    return false;
  const double Rate = static_cast<double>(Bad) / Total;
  const double Deviation =
      std::sqrt(BaselineRate * (1 - BaselineRate) / static_cast<double>(Total));
  return Rate > BaselineRate + SignificanceDeviations * Deviation;
}

void release_statistics::addLocal(const release_key &Key,
                                  const release_counts &Counts) {
  Local[Key] += Counts;
}

void release_statistics::merge(const vm_id &Origin, std::uint64_t Incarnation,
                               const release_report &Report) {
  release_counts &Known = Remote[{Origin, Incarnation, Report.Key}];
  if (Report.Counts.Requests >= Known.Requests &&
      Report.Counts.Attempts >= Known.Attempts)
    Known = Report.Counts;
}

std::vector<release_report> release_statistics::localReports() const {
  std::vector<release_report> Reports;
  for (const auto &[Key, Counts] : Local)
    Reports.push_back({Key, Counts});
  return Reports;
}

std::map<release_key, release_counts>
release_statistics::totals(const service_id &Service) const {
  std::map<release_key, release_counts> Totals;
  for (const auto &[Key, Counts] : Local)
    if (Key.Service == Service)
      Totals[Key] += Counts;
  for (const auto &[Origin, Counts] : Remote)
    if (std::get<release_key>(Origin).Service == Service)
      Totals[std::get<release_key>(Origin)] += Counts;
  return Totals;
}

release_counts release_statistics::countsOf(const service_id &Service,
                                            const std::string &Release) const {
  release_counts Sum;
  for (const auto &[Key, Counts] : totals(Service))
    if (Key.Release == Release)
      Sum += Counts;
  return Sum;
}

release_counts release_statistics::countsOf(const service_id &Service) const {
  release_counts Sum;
  for (const auto &[Key, Counts] : totals(Service))
    Sum += Counts;
  return Sum;
}

bool release_statistics::isWorse(const service_id &Service,
                                 const std::string &Release) const {
  std::map<std::string, release_counts> Judged;
  std::map<std::string, release_counts> Baseline;
  // The empty route name holds the sum over all routes.
  for (const auto &[Key, Counts] : totals(Service))
    for (const auto &Route : {Key.Route, std::string()})
      (Key.Release == Release ? Judged : Baseline)[Route] += Counts;
  return std::any_of(Judged.begin(), Judged.end(), [&](const auto &Entry) {
    const release_counts &New = Entry.second;
    const release_counts &Old = Baseline[Entry.first];
    return isSignificantlyAbove(New.Failures, New.Requests,
                                baselineRate(Old.Failures, Old.Requests)) ||
           isSignificantlyAbove(New.Slow, New.Requests,
                                baselineRate(Old.Slow, Old.Requests));
  });
}

} // namespace azurehaven
