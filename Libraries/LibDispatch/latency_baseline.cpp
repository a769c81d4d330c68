#include "LibDispatch/latency_baseline.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr double Smoothing = 0.05;
/// Samples before the average is used.
constexpr std::uint32_t MinimumSamples = 8;
constexpr double SlowFactor = 3;
/// Shorter times are never slow, whatever the baseline is.
constexpr double MinimumSlowMs = 30;

} // namespace

void latency_baseline::add(const std::string &Route, const model_id &Model,
                           double Ms) {
  average &Average = Averages[{Route, Model}];
  ++Average.Count;
  const double Weight =
      std::max(Smoothing, 1 / static_cast<double>(Average.Count));
  Average.MeanMs += Weight * (Ms - Average.MeanMs);
}

std::optional<double> latency_baseline::meanMs(const std::string &Route,
                                               const model_id &Model) const {
  auto Found = Averages.find({Route, Model});
  if (Found == Averages.end() || Found->second.Count < MinimumSamples)
    return std::nullopt;
  return Found->second.MeanMs;
}

bool latency_baseline::isSlow(const std::string &Route, const model_id &Model,
                              double Ms) const {
  const auto Mean = meanMs(Route, Model);
  return Mean && Ms > MinimumSlowMs && Ms > SlowFactor * *Mean;
}

} // namespace azurehaven
