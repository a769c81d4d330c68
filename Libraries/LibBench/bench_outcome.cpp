#include "LibBench/bench_outcome.h"

#include <cmath>

namespace azurehaven::bench {

double exposureLowerBound(double GoodMean, double BadMean, double LogSamples) {
  const double Divergence =
      BadMean * std::log(BadMean / GoodMean) +
      (1 - BadMean) * std::log((1 - BadMean) / (1 - GoodMean));
  return LogSamples / Divergence;
}

nlohmann::json encodeOutcome(const bench_outcome &Outcome) {
  nlohmann::json Classes = nlohmann::json::array();
  for (const auto &Class : Outcome.Classes)
    Classes.push_back({{"class", Class.Class.text()},
                       {"quality", Class.Quality},
                       {"quality_target", Class.QualityTarget},
                       {"cost", Class.Cost},
                       {"first_token_p50_ms", Class.FirstTokenP50Ms},
                       {"first_token_p95_ms", Class.FirstTokenP95Ms},
                       {"first_token_p99_ms", Class.FirstTokenP99Ms},
                       {"answered", Class.Answered},
                       {"refused", Class.Refused},
                       {"on_time", Class.OnTime}});
  return {{"classes", Classes},
          {"cost_per_request", Outcome.CostPerRequest},
          {"first_token_p95_ms", Outcome.FirstTokenP95Ms},
          {"answered", Outcome.Answered},
          {"refused", Outcome.Refused},
          {"bad_served", Outcome.BadServed},
          {"bad_served_by_first_vm", Outcome.BadServedByFirstVm},
          {"withdrawn", Outcome.WasWithdrawn},
          {"false_alarms", Outcome.FalseAlarms},
          {"breakdowns", Outcome.EngineCrashes},
          {"others_on_time", Outcome.OtherAccountsOnTime},
          {"decision_us", Outcome.DecisionMicroseconds}};
}

} // namespace azurehaven::bench
