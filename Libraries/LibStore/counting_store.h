#pragma once

#include "LibStore/store.h"

#include <array>
#include <atomic>

namespace azurehaven {

struct store_call_counts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Failures = 0;
};

/// Forwards each call to another store and counts it by purpose. Thread-safe if
/// that store is.
class counting_store : public store {
public:
  explicit counting_store(store &Inner) : Inner(Inner) {}

  result<store_entry> read(store_purpose Purpose,
                           const std::string &Key) override;
  result<std::uint64_t> compareAndSwap(store_purpose Purpose,
                                       const std::string &Key,
                                       const std::string &Value,
                                       std::uint64_t ExpectedRevision) override;
  result<std::vector<store_entry>> list(store_purpose Purpose,
                                        const std::string &Prefix,
                                        std::uint64_t AfterRevision) override;

  store_call_counts counts(store_purpose Purpose) const;

private:
  struct counters {
    std::atomic<std::uint64_t> Reads = 0;
    std::atomic<std::uint64_t> Writes = 0;
    std::atomic<std::uint64_t> Failures = 0;
  };
  counters &countersOf(store_purpose Purpose) {
    return Counters[static_cast<std::size_t>(Purpose)];
  }

  store &Inner;
  std::array<counters, StorePurposeCount> Counters;
};

} // namespace azurehaven
