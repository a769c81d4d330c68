#include "LibRollout/release_statistics.h"

namespace azurehaven {

release_counts &release_counts::operator+=(const release_counts &Other) {
  Requests += Other.Requests;
  Failures += Other.Failures;
  Slow += Other.Slow;
  Attempts += Other.Attempts;
  return *this;
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

exposure_counts
release_statistics::localAttempts(const service_id &Service,
                                  const std::string &Release) const {
  exposure_counts Sum;
  for (const auto &[Key, Counts] : Local) {
    if (Key.Service != Service)
      continue;
    Sum.All += Counts.Attempts;
    if (Key.Release == Release)
      Sum.Target += Counts.Attempts;
  }
  return Sum;
}

service_totals release_statistics::totals(const service_id &Service) const {
  service_totals Totals;
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

} // namespace azurehaven
