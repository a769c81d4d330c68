#include "LibDispatch/latency_baseline.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

constexpr double Smoothing = 0.05;
/// Samples before the average is used.
constexpr std::uint32_t MinimumSamples = 8;
constexpr double SlowFactor = 3;
/// Mean deviations above the average beyond which a latency is unusual. Source:
/// the retransmission timeout of TCP (RFC 6298).
constexpr double SlowDeviations = 4;
/// Factor by which each latency reduces the longest one before it.
constexpr double LongestDecay = 0.998;
/// Shorter times are never slow, whatever the baseline is.
constexpr double MinimumSlowMs = 30;

} // namespace

void latency_baseline::add(const std::string &Route, const model_id &Model,
                           double Ms) {
  average &Average = Averages[{Route, Model}];
  ++Average.Count;
  const double Weight =
      std::max(Smoothing, 1 / static_cast<double>(Average.Count));
  const double Difference = Ms - Average.MeanMs;
  Average.DeviationMs += Weight * (std::abs(Difference) - Average.DeviationMs);
  Average.MeanMs += Weight * Difference;
  Average.LongestMs = std::max(Ms, LongestDecay * Average.LongestMs);
}

const latency_baseline::average *
latency_baseline::averageOf(const std::string &Route,
                            const model_id &Model) const {
  auto Found = Averages.find({Route, Model});
  if (Found == Averages.end() || Found->second.Count < MinimumSamples)
    return nullptr;
  return &Found->second;
}

std::optional<double> latency_baseline::meanMs(const std::string &Route,
                                               const model_id &Model) const {
  const average *Average = averageOf(Route, Model);
  return Average ? std::optional(Average->MeanMs) : std::nullopt;
}

std::optional<double> latency_baseline::longestMs(const std::string &Route,
                                                  const model_id &Model) const {
  auto Found = Averages.find({Route, Model});
  if (Found == Averages.end())
    return std::nullopt;
  return Found->second.LongestMs;
}

bool latency_baseline::isSlow(const std::string &Route, const model_id &Model,
                              double Ms) const {
  const average *Average = averageOf(Route, Model);
  return Average && Ms > std::max({MinimumSlowMs, SlowFactor * Average->MeanMs,
                                   Average->MeanMs +
                                       SlowDeviations * Average->DeviationMs});
}

} // namespace azurehaven
