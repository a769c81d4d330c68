#pragma once

#include "LibTypes/memory_budget.h"

#include <memory>
#include <string>

namespace azurehaven {

/// A response body that is buffered until it is complete.
class buffered_body {
public:
  explicit buffered_body(std::shared_ptr<memory_budget> Budget)
      : Budget(std::move(Budget)), Reservation(this->Budget.get()) {}
  buffered_body(const buffered_body &) = delete;
  buffered_body &operator=(const buffered_body &) = delete;

  /// Returns false, and keeps nothing of the bytes, if the body would exceed
  /// its limit or the budget.
  bool tryAppend(const std::string &Bytes);
  void clear();
  const std::string &text() const { return Text; }

private:
  const std::shared_ptr<memory_budget> Budget;
  memory_reservation Reservation;
  std::string Text;
};

} // namespace azurehaven
