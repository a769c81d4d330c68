#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/ranked_mutex.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace azurehaven {

/// Bills that peers have asked this VM to hold while the store is away.
/// Thread-safe (lock_rank::Ledger).
class custody_holder {
public:
  /// Returns false, holding nothing, when the holder is full.
  bool hold(const vm_id &Origin, const std::vector<std::string> &Bills);
  void release(const vm_id &Origin, const std::vector<std::string> &Keys);
  /// Takes out the encoded bills whose origin satisfies IsGone, for this VM to
  /// commit as its own. The ledger is a set, so that a bill which its origin
  /// wrote after all does no harm.
  std::vector<std::string>
  takeOrphans(const std::function<bool(const vm_id &)> &IsGone);
  std::size_t size();

private:
  ranked_mutex Mutex{lock_rank::Ledger};
  std::map<vm_id, std::map<std::string, std::string>> BillsByOrigin;
  std::size_t Count = 0;
};

} // namespace azurehaven
