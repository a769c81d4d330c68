#include "LibScenario/eventually.h"

#include "LibTypes/units.h"

#include <thread>

namespace azurehaven {

namespace {

constexpr milliseconds EventTimeout{60000};
constexpr milliseconds PollInterval{50};

} // namespace

status eventually(const std::function<status()> &Check) {
  const auto GiveUpAt = std::chrono::steady_clock::now() + EventTimeout;
  while (true) {
    auto Done = Check();
    if (!isError(Done) || std::chrono::steady_clock::now() >= GiveUpAt)
      return Done;
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace azurehaven
