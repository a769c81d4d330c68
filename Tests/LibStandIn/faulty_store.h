#pragma once

#include "LibStore/memory_store.h"

#include <functional>

namespace azurehaven {

enum class store_fault {
  None,
  /// The call has no effect.
  Unavailable,
  /// A write takes effect but its response is lost; reads fail.
  ResponseLost,
};

/// An in-memory store with scripted faults, for unit tests.
class faulty_store : public store {
public:
  /// Returns the fault of a call by its number, counted from 1.
  std::function<store_fault(unsigned)> FaultOf = [](unsigned) {
    return store_fault::None;
  };
  /// Runs before each write, to simulate races.
  std::function<void(const std::string &Key)> BeforeWrite;

  result<store_entry> read(store_purpose Purpose,
                           const std::string &Key) override {
    if (FaultOf(++Calls) != store_fault::None)
      return unavailable();
    return Inner.read(Purpose, Key);
  }

  result<std::uint64_t> compareAndSwap(store_purpose Purpose,
                                       const std::string &Key,
                                       const std::string &Value,
                                       std::uint64_t Expected) override {
    const store_fault Fault = FaultOf(++Calls);
    if (Fault == store_fault::Unavailable)
      return unavailable();
    if (BeforeWrite)
      BeforeWrite(Key);
    auto Swapped = Inner.compareAndSwap(Purpose, Key, Value, Expected);
    if (Fault == store_fault::ResponseLost)
      return error{error_code::OutcomeUnknown, "response lost"};
    return Swapped;
  }

  result<std::vector<store_entry>> list(store_purpose Purpose,
                                        const std::string &Prefix,
                                        std::uint64_t After) override {
    if (FaultOf(++Calls) != store_fault::None)
      return unavailable();
    return Inner.list(Purpose, Prefix, After);
  }

  memory_store Inner;
  unsigned Calls = 0;

private:
  static error unavailable() {
    return {error_code::Unavailable, "store unavailable"};
  }
};

} // namespace azurehaven
