#include "LibDispatch/fleet_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Holders beyond one for each request a second. With this few, the requests
/// that they all send at the same moment stay within what an endpoint tolerates
/// beyond its rate, even while VMs disagree about who the holders are.
constexpr std::size_t MinimumHolders = 2;
/// The end of a limit is only learned from responses, so that an endpoint that
/// accepts less than this is asked this often all the same.
constexpr double MinimumPerSecond = 0.25;
/// Requests that a VM has not sent may be made up for within this time.
constexpr double BurstSeconds = 0.25;

double secondsBetween(steady_time From, steady_time To) {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

std::size_t fleet_rate_limit::holderCount(double PerSecond,
                                          std::size_t VmCount) {
  const double Wanted = MinimumHolders + std::ceil(PerSecond);
  if (Wanted >= static_cast<double>(VmCount))
    return std::max<std::size_t>(VmCount, 1);
  return static_cast<std::size_t>(Wanted);
}

void fleet_rate_limit::observe(std::optional<double> PerSecond,
                               steady_time RequestSentAt, steady_time Now) {
  if (!PerSecond) {
    if (isLimited() && RequestSentAt > LimitedSince)
      Latest = {std::nullopt, Now};
    return;
  }
  begin(*PerSecond, Now);
  Latest = {PerSecond, Now};
}

void fleet_rate_limit::merge(const rate_statement &Statement, steady_time Now) {
  if (Statement.At <= Latest.At)
    return;
  if (Statement.PerSecond)
    begin(*Statement.PerSecond, Now);
  Latest = Statement;
}

void fleet_rate_limit::begin(double PerSecond, steady_time Now) {
  if (isLimited()) {
    refill(Now);
    Latest.PerSecond = PerSecond;
    Tokens = std::min(Tokens, capacity());
    return;
  }
  // Without a first token, an endpoint that names and ends its limit again and
  // again does not get a burst each time.
  Tokens = 0;
  RefilledAt = Now;
  LimitedSince = Now;
}

void fleet_rate_limit::setShare(double NewShare, steady_time Now) {
  refill(Now);
  Share = NewShare;
  Tokens = std::min(Tokens, capacity());
}

double fleet_rate_limit::ownRate() const {
  return Share * std::max(Latest.PerSecond.value_or(0), MinimumPerSecond);
}

double fleet_rate_limit::capacity() const {
  return std::max(1.0, BurstSeconds * ownRate());
}

double fleet_rate_limit::tokensAt(steady_time Now) const {
  const double Gained = ownRate() * secondsBetween(RefilledAt, Now);
  return std::min(Tokens + std::max(Gained, 0.0), capacity());
}

void fleet_rate_limit::refill(steady_time Now) {
  Tokens = tokensAt(Now);
  RefilledAt = Now;
}

bool fleet_rate_limit::allows(steady_time Now) const {
  return !isLimited() || (Share > 0 && tokensAt(Now) >= 1);
}

void fleet_rate_limit::consume(steady_time Now) {
  if (!isLimited())
    return;
  refill(Now);
  Tokens -= 1;
}

std::optional<steady_time>
fleet_rate_limit::nextAdmission(steady_time Now) const {
  if (!isLimited())
    return Now;
  if (Share <= 0)
    return std::nullopt;
  const double Missing = std::max(1 - tokensAt(Now), 0.0);
  return Now + std::chrono::ceil<steady_time::duration>(
                   std::chrono::duration<double>(Missing / ownRate()));
}

} // namespace azurehaven
