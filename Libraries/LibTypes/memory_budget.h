#pragma once

#include <cstddef>
#include <utility>

namespace azurehaven {

/// Bytes that may be buffered together, as a part of what a parent allows if
/// there is one. Not thread-safe.
class memory_budget {
public:
  /// Parent has to outlive the budget.
  explicit memory_budget(std::size_t LimitBytes,
                         memory_budget *Parent = nullptr)
      : LimitBytes(LimitBytes), Parent(Parent) {}
  memory_budget(const memory_budget &) = delete;
  memory_budget &operator=(const memory_budget &) = delete;

  /// Returns false, and reserves nothing, if the limit or that of a parent
  /// would be exceeded.
  bool tryReserve(std::size_t Bytes);
  /// Reserves bytes that can't be refused any more.
  void reserve(std::size_t Bytes);
  void release(std::size_t Bytes);

  std::size_t limit() const { return LimitBytes; }
  std::size_t used() const { return UsedBytes; }
  /// Whether this budget or a parent has nothing left.
  bool isExhausted() const;

private:
  bool hasRoomFor(std::size_t Bytes) const;

  const std::size_t LimitBytes;
  memory_budget *const Parent;
  std::size_t UsedBytes = 0;
};

/// What one buffer takes of a budget; given back with it.
class memory_reservation {
public:
  memory_reservation() = default;
  /// Budget: null if nothing is accounted for; has to outlive the reservation.
  explicit memory_reservation(memory_budget *Budget) : Budget(Budget) {}
  memory_reservation(memory_reservation &&Other) noexcept
      : Budget(std::exchange(Other.Budget, nullptr)),
        Bytes(std::exchange(Other.Bytes, 0)) {}
  memory_reservation &operator=(memory_reservation &&Other) noexcept;
  ~memory_reservation() { resize(0); }

  /// Returns false, and changes nothing, if the budget does not allow a larger
  /// buffer. A small one is always allowed, so that large ones elsewhere do not
  /// keep an ordinary request from being served.
  bool tryResize(std::size_t NewBytes);
  /// The same for a buffer that is there already.
  void resize(std::size_t NewBytes);
  std::size_t bytes() const { return Bytes; }

private:
  memory_budget *Budget = nullptr;
  std::size_t Bytes = 0;
};

} // namespace azurehaven
