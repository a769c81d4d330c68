#include "LibTypes/memory_budget.h"

#include "LibTypes/verify.h"

namespace azurehaven {

namespace {

/// Buffers up to this size are always allowed; their number is limited by that
/// of the connections.
constexpr std::size_t SmallBufferBytes = 16 << 10;

} // namespace

bool memory_budget::hasRoomFor(std::size_t Bytes) const {
  const bool Fits = UsedBytes <= LimitBytes && Bytes <= LimitBytes - UsedBytes;
  return Fits && (!Parent || Parent->hasRoomFor(Bytes));
}

bool memory_budget::tryReserve(std::size_t Bytes) {
  if (!hasRoomFor(Bytes))
    return false;
  reserve(Bytes);
  return true;
}

void memory_budget::reserve(std::size_t Bytes) {
  UsedBytes += Bytes;
  if (Parent)
    Parent->reserve(Bytes);
}

void memory_budget::release(std::size_t Bytes) {
  VERIFY(Bytes <= UsedBytes);
  UsedBytes -= Bytes;
  if (Parent)
    Parent->release(Bytes);
}

bool memory_budget::isExhausted() const { return !hasRoomFor(1); }

memory_reservation &
memory_reservation::operator=(memory_reservation &&Other) noexcept {
  if (this == &Other)
    return *this;
  resize(0);
  Budget = std::exchange(Other.Budget, nullptr);
  Bytes = std::exchange(Other.Bytes, 0);
  return *this;
}

bool memory_reservation::tryResize(std::size_t NewBytes) {
  const bool IsAllowed =
      !Budget || NewBytes <= Bytes || NewBytes <= SmallBufferBytes;
  if (IsAllowed) {
    resize(NewBytes);
    return true;
  }
  if (!Budget->tryReserve(NewBytes - Bytes))
    return false;
  Bytes = NewBytes;
  return true;
}

void memory_reservation::resize(std::size_t NewBytes) {
  if (!Budget)
    return;
  if (NewBytes > Bytes)
    Budget->reserve(NewBytes - Bytes);
  else
    Budget->release(Bytes - NewBytes);
  Bytes = NewBytes;
}

} // namespace azurehaven
