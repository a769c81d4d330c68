#include "LibDispatch/release_rule.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Long enough for the load of an endpoint to build up.
constexpr milliseconds TrialPeriod{4000};
/// Bound of the share of a release with few endpoints.
constexpr double MaximumConcentratedShare = 0.34;

} // namespace

release_choice chooseRelease(const release_rule &Rule,
                             const std::optional<std::string> &Pinned,
                             double Sample) {
  const bool IsOnTarget = Pinned && *Pinned == Rule.Target;
  switch (Rule.Phase) {
  case rollout_phase::None:
    return release_choice::Any;
  case rollout_phase::Completed:
    return release_choice::Target;
  case rollout_phase::RolledBack:
    return release_choice::NotTarget;
  case rollout_phase::Trial:
  case rollout_phase::Shift:
    break;
  }
  if (IsOnTarget)
    return release_choice::Target;
  if (Pinned && Rule.PinsSessions)
    return release_choice::NotTarget;
  return Sample < Rule.TargetShare * Rule.RouteFactor
             ? release_choice::Target
             : release_choice::NotTarget;
}

release_rule concentrateTrial(const release_rule &Rule,
                              std::size_t TargetEndpoints) {
  if (Rule.Phase != rollout_phase::Trial || TargetEndpoints == 0)
    return Rule;
  const double FullShare = std::min(1.0 / static_cast<double>(TargetEndpoints),
                                    MaximumConcentratedShare);
  if (Rule.TargetShare >= FullShare)
    return Rule;
  release_rule Concentrated = Rule;
  const double Position =
      static_cast<double>((Rule.Elapsed % TrialPeriod).count()) /
      static_cast<double>(TrialPeriod.count());
  const bool IsActive = Position < Rule.TargetShare / FullShare;
  Concentrated.TargetShare = IsActive ? FullShare : 0;
  return Concentrated;
}

} // namespace azurehaven
