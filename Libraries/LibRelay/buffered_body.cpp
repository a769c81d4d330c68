#include "LibRelay/buffered_body.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr std::size_t BodyLimitBytes = 8 << 20;
/// Factor by which the buffer grows, at least.
constexpr std::size_t GrowthFactor = 2;

} // namespace

bool buffered_body::tryAppend(const std::string &Bytes) {
  const std::size_t Size = Text.size() + Bytes.size();
  if (Size > BodyLimitBytes)
    return false;
  if (Size > Text.capacity()) {
    const std::size_t Capacity = std::max(
        Size, std::min(GrowthFactor * Text.capacity(), BodyLimitBytes));
    if (!Reservation.tryResize(Capacity))
      return false;
    Text.reserve(Capacity);
  }
  Text += Bytes;
  return true;
}

void buffered_body::clear() {
  Text = std::string();
  Reservation.resize(0);
}

} // namespace azurehaven
