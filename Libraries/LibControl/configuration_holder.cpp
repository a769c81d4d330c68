#include "LibControl/configuration_holder.h"

namespace azurehaven {

configuration_holder::configuration_holder()
    : Current(std::make_shared<const configuration>()) {}

std::shared_ptr<const configuration> configuration_holder::current() const {
  std::lock_guard Lock(Mutex);
  return Current;
}

bool configuration_holder::replaceIfNewer(configuration Candidate) {
  auto Next = std::make_shared<const configuration>(std::move(Candidate));
  std::lock_guard Lock(Mutex);
  if (Next->Version <= Current->Version)
    return false;
  Current = std::move(Next);
  return true;
}

} // namespace azurehaven
