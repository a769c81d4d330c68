#include "LibMetrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdio>

namespace azurehaven {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};
constexpr std::array<const char *, 3> QuantileNames = {"0.5", "0.95", "0.99"};

using summary = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

std::string withLabel(const std::string &Labels, const std::string &Added) {
  return Labels.empty() ? Added : Labels + "," + Added;
}

} // namespace

class metrics::timing {
public:
  summary Summary{accumulators::extended_p_square_probabilities = Quantiles};
};

metrics::metrics() = default;
metrics::~metrics() = default;

std::string renderSample(const std::string &Name, const std::string &Labels,
                         double Value) {
  char Text[64];
  std::snprintf(Text, sizeof Text, " %.17g\n", Value);
  return Name + (Labels.empty() ? "" : "{" + Labels + "}") + Text;
}

void metrics::count(const std::string &Name, const std::string &Labels,
                    std::uint64_t Added) {
  std::lock_guard Lock(Mutex);
  Counters[{Name, Labels}] += Added;
}

void metrics::observe(const std::string &Name, const std::string &Labels,
                      milliseconds Value) {
  std::lock_guard Lock(Mutex);
  auto &Timing = Timings[{Name, Labels}];
  if (!Timing)
    Timing = std::make_unique<timing>();
  Timing->Summary(static_cast<double>(Value.count()));
}

std::uint64_t metrics::value(const std::string &Name,
                             const std::string &Labels) const {
  std::lock_guard Lock(Mutex);
  auto Found = Counters.find({Name, Labels});
  return Found == Counters.end() ? 0 : Found->second;
}

std::string metrics::render() const {
  std::lock_guard Lock(Mutex);
  std::string Text;
  for (const auto &[Series, Value] : Counters)
    Text +=
        renderSample(Series.first, Series.second, static_cast<double>(Value));
  for (const auto &[Series, Timing] : Timings) {
    const auto &[Name, Labels] = Series;
    const auto Count = accumulators::count(Timing->Summary);
    for (std::size_t Index = 0; Index < Quantiles.size(); ++Index)
      Text +=
          renderSample(Name,
                       withLabel(Labels, std::string("quantile=\"") +
                                             QuantileNames[Index] + "\""),
                       accumulators::extended_p_square(Timing->Summary)[Index]);
    Text +=
        renderSample(Name + "_sum", Labels, accumulators::sum(Timing->Summary));
    Text += renderSample(Name + "_count", Labels, static_cast<double>(Count));
  }
  return Text;
}

} // namespace azurehaven
