#include "LibDispatch/recent_maximum.h"

#include <algorithm>
#include <utility>

namespace azurehaven {

void recent_maximum::observe(std::size_t Value, steady_time Now) {
  if (Now - PeriodStart >= Period) {
    Previous = std::exchange(Current, 0);
    PeriodStart = Now;
  }
  Current = std::max(Current, Value);
}

std::size_t recent_maximum::value() const {
  return std::max(Current, Previous);
}

} // namespace azurehaven
