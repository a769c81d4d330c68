#include "LibRollout/rollout_outcome.h"

namespace azurehaven {

const char *nameOf(rollout_outcome Outcome) {
  switch (Outcome) {
  case rollout_outcome::InProgress:
    return "in_progress";
  case rollout_outcome::Completed:
    return "completed";
  case rollout_outcome::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

} // namespace azurehaven
