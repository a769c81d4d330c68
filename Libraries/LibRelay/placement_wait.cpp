#include "LibRelay/placement_wait.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Longest wait, over all attempts of a request.
constexpr milliseconds WaitLimit{400};
constexpr milliseconds RetryInterval{20};

} // namespace

bool placement_wait::isWorthwhile(const endpoint_list &Endpoints,
                                  steady_time Now) const {
  if (WaitingSince && Now - *WaitingSince >= WaitLimit)
    return false;
  return std::any_of(
      Endpoints.begin(), Endpoints.end(), [&](const auto &Endpoint) {
        return !Endpoint->Descriptor.IsLeaving && Endpoint->Brittle.isFull(Now);
      });
}

void placement_wait::start(steady_time Now, std::function<void()> Handler) {
  if (!WaitingSince)
    WaitingSince = Now;
  Running = std::make_shared<const bool>(true);
  Timer.expires_after(RetryInterval);
  Timer.async_wait(
      [Handler = std::move(Handler),
       Running = std::weak_ptr(Running)](const asio::error_code &Code) {
        if (!Code && !Running.expired())
          Handler();
      });
}

void placement_wait::cancel() {
  Running.reset();
  Timer.cancel();
}

} // namespace azurehaven
