#include "LibRollout/evidence_windows.h"

namespace azurehaven {

namespace {

constexpr milliseconds Interval{1000};
constexpr std::size_t MaximumLatest = 8;
/// A shorter window holds too few requests.
constexpr milliseconds ShortestWindow{1000};

} // namespace

void evidence_windows::observe(const evidence_totals &Totals, steady_time Now) {
  if (!First)
    First = Totals;
  const bool IsDue = Latest.empty() || Now - Latest.back().At >= Interval;
  if (!IsDue)
    return;
  if (Latest.size() == MaximumLatest)
    Latest.erase(Latest.begin());
  Latest.push_back({Now, Totals});
}

std::vector<evidence_totals> evidence_windows::starts(steady_time Now) const {
  std::vector<evidence_totals> Starts;
  if (First)
    Starts.push_back(*First);
  for (const window_start &Start : Latest)
    if (Now - Start.At >= ShortestWindow)
      Starts.push_back(Start.Totals);
  return Starts;
}

} // namespace azurehaven
