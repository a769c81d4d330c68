#include "LibBench/bench_summary.h"

#include <algorithm>

namespace azurehaven::bench {

namespace {

class outcome_summary {
public:
  outcome_summary(const workload &Workload,
                  const std::deque<request_state> &States,
                  steady_time CountFrom, steady_time FaultAt)
      : Workload(Workload), States(States), CountFrom(CountFrom),
        FaultAt(FaultAt) {}

  bench_outcome summarize() const {
    bench_outcome Outcome;
    std::vector<double> FirstTokens;
    double Cost = 0;
    for (const auto &Class : Workload.Classes) {
      Outcome.Classes.push_back(summarizeClass(Class.Class, FirstTokens, Cost));
      Outcome.Answered += Outcome.Classes.back().Answered;
      Outcome.Refused += Outcome.Classes.back().Refused;
    }
    Outcome.CostPerRequest =
        Cost / std::max<double>(1, static_cast<double>(Outcome.Answered));
    Outcome.FirstTokenP95Ms = quantile(FirstTokens, 0.95);
    Outcome.OtherAccountsOnTime = otherAccountsOnTime();
    return Outcome;
  }

private:
  static double quantile(std::vector<double> &Values, double Fraction) {
    if (Values.empty())
      return 0;
    auto Nth =
        Values.begin() + static_cast<std::ptrdiff_t>(
                             Fraction * static_cast<double>(Values.size() - 1));
    std::nth_element(Values.begin(), Nth, Values.end());
    return *Nth;
  }

  bool isOnTime(const request_state &State) const {
    const std::chrono::duration<double, std::milli> FirstToken =
        State.FirstTokenAt - State.Request.ArrivedAt;
    return State.IsAnswered &&
           FirstToken.count() <=
               static_cast<double>(
                   Workload.Configuration.Classes.at(State.Request.Class)
                       .FirstTokenTarget.count());
  }

  bool isCounted(const request_state &State) const {
    return State.IsDone && State.Request.ArrivedAt >= CountFrom &&
           State.Request.Fingerprint != CrashCausingFingerprint;
  }

  class_outcome summarizeClass(const class_id &Class,
                               std::vector<double> &AllFirstTokens,
                               double &AllCost) const {
    class_outcome Outcome;
    Outcome.Class = Class;
    Outcome.QualityTarget =
        Workload.Configuration.Classes.at(Class).QualityTarget;
    std::vector<double> FirstTokens;
    for (const request_state &State : States) {
      if (State.Request.Class != Class || !isCounted(State))
        continue;
      if (!State.IsAnswered) {
        ++Outcome.Refused;
        continue;
      }
      ++Outcome.Answered;
      Outcome.OnTime += isOnTime(State);
      Outcome.Quality += State.TrueQuality;
      Outcome.Cost += State.Cost;
      FirstTokens.push_back(std::chrono::duration<double, std::milli>(
                                State.FirstTokenAt - State.Request.ArrivedAt)
                                .count());
    }
    AllCost += Outcome.Cost;
    AllFirstTokens.insert(AllFirstTokens.end(), FirstTokens.begin(),
                          FirstTokens.end());
    const double Count =
        std::max<double>(1, static_cast<double>(Outcome.Answered));
    Outcome.Quality /= Count;
    Outcome.Cost /= Count;
    Outcome.FirstTokenP50Ms = quantile(FirstTokens, 0.50);
    Outcome.FirstTokenP95Ms = quantile(FirstTokens, 0.95);
    Outcome.FirstTokenP99Ms = quantile(FirstTokens, 0.99);
    return Outcome;
  }

  double otherAccountsOnTime() const {
    std::size_t All = 0;
    std::size_t OnTime = 0;
    for (const request_state &State : States) {
      if (!isCounted(State) || State.Request.ArrivedAt < FaultAt ||
          State.Request.Account == Workload.Accounts.front().Account)
        continue;
      ++All;
      OnTime += isOnTime(State);
    }
    return All == 0 ? 1
                    : static_cast<double>(OnTime) / static_cast<double>(All);
  }

  const workload &Workload;
  const std::deque<request_state> &States;
  const steady_time CountFrom;
  const steady_time FaultAt;
};

} // namespace

bench_outcome summarize(const workload &Workload,
                        const std::deque<request_state> &States,
                        steady_time CountFrom, steady_time FaultAt) {
  return outcome_summary(Workload, States, CountFrom, FaultAt).summarize();
}

} // namespace azurehaven::bench
