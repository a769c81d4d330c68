#include "LibBench/bench_summary.h"

#include <algorithm>

namespace azurehaven::bench {

namespace {

class flow_summary {
public:
  flow_summary(const workload &Load, const std::deque<flow> &Flows,
               steady_time CountFrom, steady_time FaultAt)
      : Load(Load), Flows(Flows), CountFrom(CountFrom), FaultAt(FaultAt) {}

  bench_outcome summarize() const {
    bench_outcome Outcome;
    std::vector<double> FirstTokens;
    double Cost = 0;
    for (const auto &Class : Load.Classes) {
      Outcome.Classes.push_back(summarizeClass(Class.Class, FirstTokens, Cost));
      Outcome.Answered += Outcome.Classes.back().Answered;
      Outcome.Refused += Outcome.Classes.back().Refused;
    }
    Outcome.CostPerRequest =
        Cost / std::max<double>(1, static_cast<double>(Outcome.Answered));
    Outcome.FirstTokenP95 = quantile(FirstTokens, 0.95);
    Outcome.OthersOnTime = othersOnTime();
    return Outcome;
  }

private:
  static double quantile(std::vector<double> &Values, double Part) {
    if (Values.empty())
      return 0;
    auto Nth =
        Values.begin() + static_cast<std::ptrdiff_t>(
                             Part * static_cast<double>(Values.size() - 1));
    std::nth_element(Values.begin(), Nth, Values.end());
    return *Nth;
  }

  bool isOnTime(const flow &Flow) const {
    const std::chrono::duration<double, std::milli> FirstToken =
        Flow.FirstTokenAt - Flow.Request.ArrivedAt;
    return Flow.IsAnswered &&
           FirstToken.count() <=
               static_cast<double>(
                   Load.Configuration.Classes.at(Flow.Request.Class)
                       .FirstTokenTarget.count());
  }

  bool counts(const flow &Flow) const {
    return Flow.IsDone && Flow.Request.ArrivedAt >= CountFrom &&
           Flow.Request.Fingerprint != PoisonFingerprint;
  }

  class_outcome summarizeClass(const class_id &Class,
                               std::vector<double> &AllFirstTokens,
                               double &AllCost) const {
    class_outcome Outcome;
    Outcome.Class = Class;
    Outcome.QualityTarget = Load.Configuration.Classes.at(Class).QualityTarget;
    std::vector<double> FirstTokens;
    for (const flow &Flow : Flows) {
      if (Flow.Request.Class != Class || !counts(Flow))
        continue;
      if (!Flow.IsAnswered) {
        ++Outcome.Refused;
        continue;
      }
      ++Outcome.Answered;
      Outcome.OnTime += isOnTime(Flow);
      Outcome.Quality += Flow.Goodness;
      Outcome.Cost += Flow.Cost;
      FirstTokens.push_back(std::chrono::duration<double, std::milli>(
                                Flow.FirstTokenAt - Flow.Request.ArrivedAt)
                                .count());
    }
    AllCost += Outcome.Cost;
    AllFirstTokens.insert(AllFirstTokens.end(), FirstTokens.begin(),
                          FirstTokens.end());
    const double Count =
        std::max<double>(1, static_cast<double>(Outcome.Answered));
    Outcome.Quality /= Count;
    Outcome.Cost /= Count;
    Outcome.FirstTokenP50 = quantile(FirstTokens, 0.50);
    Outcome.FirstTokenP95 = quantile(FirstTokens, 0.95);
    Outcome.FirstTokenP99 = quantile(FirstTokens, 0.99);
    return Outcome;
  }

  double othersOnTime() const {
    std::size_t All = 0;
    std::size_t OnTime = 0;
    for (const flow &Flow : Flows) {
      if (!counts(Flow) || Flow.Request.ArrivedAt < FaultAt ||
          Flow.Request.Account == Load.Accounts.front().Account)
        continue;
      ++All;
      OnTime += isOnTime(Flow);
    }
    return All == 0 ? 1
                    : static_cast<double>(OnTime) / static_cast<double>(All);
  }

  const workload &Load;
  const std::deque<flow> &Flows;
  const steady_time CountFrom;
  const steady_time FaultAt;
};

} // namespace

bench_outcome summarize(const workload &Load, const std::deque<flow> &Flows,
                        steady_time CountFrom, steady_time FaultAt) {
  return flow_summary(Load, Flows, CountFrom, FaultAt).summarize();
}

} // namespace azurehaven::bench
