#include "LibStore/memory_store.h"

#include <algorithm>

namespace azurehaven {

result<store_entry> memory_store::read(store_purpose, const std::string &Key) {
  std::lock_guard Lock(Mutex);
  auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return error{error_code::NotFound, "no such key: " + Key};
  return Found->second;
}

result<std::uint64_t>
memory_store::compareAndSwap(store_purpose, const std::string &Key,
                             const std::string &Value,
                             std::uint64_t ExpectedRevision) {
  std::lock_guard Lock(Mutex);
  auto Found = Entries.find(Key);
  const std::uint64_t Current =
      Found == Entries.end() ? AbsentRevision : Found->second.Revision;
  if (Current != ExpectedRevision)
    return error{error_code::Conflict,
                 "revision of " + Key + " is " + std::to_string(Current)};
  Entries[Key] = {Key, Value, ++LastRevision};
  return LastRevision;
}

result<std::vector<store_entry>>
memory_store::list(store_purpose, const std::string &Prefix,
                   std::uint64_t AfterRevision) {
  std::lock_guard Lock(Mutex);
  std::vector<store_entry> Listed;
  for (auto It = Entries.lower_bound(Prefix);
       It != Entries.end() && It->first.starts_with(Prefix); ++It)
    if (It->second.Revision > AfterRevision)
      Listed.push_back(It->second);
  std::sort(Listed.begin(), Listed.end(),
            [](const store_entry &Left, const store_entry &Right) {
              return Left.Revision < Right.Revision;
            });
  return Listed;
}

} // namespace azurehaven
