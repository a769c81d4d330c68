#include "LibDispatch/fleet_retry_budget.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Fraction of the limit that is used; the margin covers requests that move
/// between VMs within a window.
constexpr double UsedFraction = 0.8;

} // namespace

void fleet_retry_budget::expire(service_window &Window, steady_time Now) const {
  for (auto *Times : {&Window.Requests, &Window.Retries})
    while (!Times->empty() && Now - Times->front() > Limits.Window)
      Times->pop_front();
}

void fleet_retry_budget::recordRequest(const service_id &Service,
                                       steady_time Now) {
  auto &Window = Windows[Service];
  expire(Window, Now);
  Window.Requests.push_back(Now);
}

bool fleet_retry_budget::tryConsume(const service_id &Service,
                                    std::size_t VmCount, steady_time Now) {
  auto &Window = Windows[Service];
  expire(Window, Now);
  const double Bound =
      UsedFraction *
      (Limits.Ratio * static_cast<double>(Window.Requests.size()) +
       Limits.Slack / static_cast<double>(std::max<std::size_t>(VmCount, 1)));
  if (static_cast<double>(Window.Retries.size()) + 1 > Bound)
    return false;
  Window.Retries.push_back(Now);
  return true;
}

retry_budget_state fleet_retry_budget::stateOf(const service_id &Service,
                                               steady_time Now) {
  auto &Window = Windows[Service];
  expire(Window, Now);
  return {Window.Requests.size(), Window.Retries.size()};
}

} // namespace azurehaven
