#include "LibRollout/release_rule.h"

#include <algorithm>

namespace azurehaven {

bool release_rule::isWithdrawn(const std::string &Release) const {
  // The outcome of an earlier roll-out of the target may arrive late.
  return Release != Target && std::find(Withdrawn.begin(), Withdrawn.end(),
                                        Release) != Withdrawn.end();
}

const char *nameOf(rollout_phase Phase) {
  switch (Phase) {
  case rollout_phase::None:
    return "none";
  case rollout_phase::Trial:
    return "trial";
  case rollout_phase::Shift:
    return "shift";
  case rollout_phase::Rejected:
    return "rejected";
  case rollout_phase::Completed:
    return "completed";
  case rollout_phase::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

const char *nameOf(release_reason Reason) {
  switch (Reason) {
  case release_reason::NoRollout:
    return "no_rollout";
  case release_reason::SessionOnTarget:
    return "session_on_target";
  case release_reason::SessionPinned:
    return "session_pinned";
  case release_reason::InTrial:
    return "in_trial";
  case release_reason::Shifted:
    return "shifted";
  case release_reason::NotSelected:
    return "not_selected";
  case release_reason::FailedOnTarget:
    return "failed_on_target";
  case release_reason::Rejected:
    return "rejected";
  case release_reason::Completed:
    return "completed";
  case release_reason::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

release_decision chooseRelease(const release_rule &Rule,
                               const std::optional<std::string> &Pinned,
                               const release_samples &Samples) {
  const bool IsOnTarget = Pinned && *Pinned == Rule.Target;
  switch (Rule.Phase) {
  case rollout_phase::None:
    return {};
  case rollout_phase::Completed:
    return {release_choice::Target, release_reason::Completed};
  case rollout_phase::RolledBack:
    return {release_choice::NotTarget, release_reason::RolledBack};
  case rollout_phase::Trial:
  case rollout_phase::Shift:
  case rollout_phase::Rejected:
    break;
  }
  if (IsOnTarget)
    return {release_choice::Target, release_reason::SessionOnTarget};
  if (Rule.Phase == rollout_phase::Rejected)
    return {release_choice::NotTarget, release_reason::Rejected};
  if (Pinned && Rule.PinsSessions)
    return {release_choice::NotTarget, release_reason::SessionPinned};
  if (Samples.Session < Rule.TrialShare)
    return {release_choice::Target, release_reason::InTrial};
  if (Samples.Prompt < Rule.ShiftedShare)
    return {release_choice::Target, release_reason::Shifted};
  return {release_choice::NotTarget, release_reason::NotSelected};
}

} // namespace azurehaven
