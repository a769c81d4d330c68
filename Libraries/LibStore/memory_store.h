#pragma once

#include "LibStore/store.h"

#include <map>
#include <mutex>

namespace azurehaven {

/// An in-memory store, for tests and for the store stand-in. Thread-safe.
class memory_store : public store {
public:
  result<store_entry> read(store_purpose Purpose,
                           const std::string &Key) override;
  result<std::uint64_t> compareAndSwap(store_purpose Purpose,
                                       const std::string &Key,
                                       const std::string &Value,
                                       std::uint64_t ExpectedRevision) override;
  result<std::vector<store_entry>> list(store_purpose Purpose,
                                        const std::string &Prefix,
                                        std::uint64_t AfterRevision) override;

private:
  std::mutex Mutex;
  std::map<std::string, store_entry> Entries;
  std::uint64_t LastRevision = 0;
};

} // namespace azurehaven
