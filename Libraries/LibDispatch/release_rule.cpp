#include "LibDispatch/release_rule.h"

namespace azurehaven {

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

} // namespace azurehaven
