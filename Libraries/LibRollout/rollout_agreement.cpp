#include "LibRollout/rollout_agreement.h"

#include <algorithm>

namespace azurehaven {

double rollout_agreement::trialShareOf(const std::string &Route) const {
  const auto Found = RouteShares.find(Route);
  return Found == RouteShares.end() ? TrialShare
                                    : std::max(TrialShare, Found->second);
}

void rollout_agreement::raiseTrialShare(double Share) {
  TrialShare = std::max(TrialShare, Share);
}

void rollout_agreement::raiseRouteShare(const std::string &Route,
                                        double Share) {
  double &Known = RouteShares[Route];
  Known = std::max(Known, Share);
}

void rollout_agreement::postponeShift(milliseconds Start) {
  ShiftStart = std::max(ShiftStart, Start);
}

void rollout_agreement::join(const rollout_agreement &Other) {
  raiseTrialShare(Other.TrialShare);
  for (const auto &[Route, Share] : Other.RouteShares)
    raiseRouteShare(Route, Share);
  postponeShift(Other.ShiftStart);
  IsRejected |= Other.IsRejected;
  if (!Outcome)
    Outcome = Other.Outcome;
}

} // namespace azurehaven
