#include "LibMetrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <boost/histogram.hpp>

#include <array>
#include <cstdio>

namespace azurehaven {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};
constexpr std::array<const char *, 3> QuantileNames = {"0.5", "0.95", "0.99"};

using duration_accumulators = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

/// Upper bounds of the buckets in milliseconds. They range from the response
/// time of a plain service to the duration of the longest stream.
constexpr std::array<double, 12> BucketBoundsMs = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2000, 3000, 5000, 10000};

using bucket_axis = boost::histogram::axis::variable<>;
using buckets = decltype(boost::histogram::make_histogram(bucket_axis{0., 1.}));

buckets makeBuckets() {
  std::vector<double> Edges{0};
  Edges.insert(Edges.end(), BucketBoundsMs.begin(), BucketBoundsMs.end());
  return boost::histogram::make_histogram(bucket_axis(Edges));
}

std::string withLabel(const std::string &Labels, const std::string &Added) {
  return Labels.empty() ? Added : Labels + "," + Added;
}

} // namespace

class metrics::duration_summary {
public:
  duration_accumulators Summary{accumulators::extended_p_square_probabilities =
                                    Quantiles};
  buckets Buckets = makeBuckets();
};

metrics::metrics() = default;
metrics::~metrics() = default;

std::string renderSample(const std::string &Name, const std::string &Labels,
                         double Value) {
  char Text[64];
  std::snprintf(Text, sizeof Text, " %.17g\n", Value);
  return Name + (Labels.empty() ? "" : "{" + Labels + "}") + Text;
}

void metrics::increment(const std::string &Name, const std::string &Labels,
                        std::uint64_t Increment) {
  std::lock_guard Lock(Mutex);
  Counters[{Name, Labels}] += Increment;
}

void metrics::observe(const std::string &Name, const std::string &Labels,
                      milliseconds Value) {
  std::lock_guard Lock(Mutex);
  auto &Duration = Durations[{Name, Labels}];
  if (!Duration)
    Duration = std::make_unique<duration_summary>();
  Duration->Summary(static_cast<double>(Value.count()));
  // A Prometheus bucket includes its upper bound, a Boost bin excludes it.
  // Values are whole milliseconds, so subtracting half of one moves only a
  // value equal to a bound to the bucket below.
  Duration->Buckets(std::max(static_cast<double>(Value.count()) - 0.5, 0.0));
}

std::uint64_t metrics::counterValue(const std::string &Name,
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
  for (const auto &[Series, Duration] : Durations) {
    const auto &[Name, Labels] = Series;
    const auto Count = accumulators::count(Duration->Summary);
    for (std::size_t Index = 0; Index < Quantiles.size(); ++Index)
      Text += renderSample(
          Name,
          withLabel(Labels,
                    std::string("quantile=\"") + QuantileNames[Index] + "\""),
          accumulators::extended_p_square(Duration->Summary)[Index]);
    double CumulativeCount = 0;
    for (std::size_t Index = 0; Index < BucketBoundsMs.size(); ++Index) {
      CumulativeCount += Duration->Buckets.at(static_cast<int>(Index));
      char Bound[32];
      std::snprintf(Bound, sizeof Bound, "le=\"%g\"", BucketBoundsMs[Index]);
      Text += renderSample(Name + "_bucket", withLabel(Labels, Bound),
                           CumulativeCount);
    }
    Text += renderSample(Name + "_bucket", withLabel(Labels, "le=\"+Inf\""),
                         static_cast<double>(Count));
    Text += renderSample(Name + "_sum", Labels,
                         accumulators::sum(Duration->Summary));
    Text += renderSample(Name + "_count", Labels, static_cast<double>(Count));
  }
  return Text;
}

} // namespace azurehaven
