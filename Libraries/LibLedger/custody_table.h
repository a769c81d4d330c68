#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/ranked_mutex.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace azurehaven {

/// One process of a VM; a restarted VM has forgotten what its earlier process
/// had promised to write.
struct bill_origin {
  vm_id Vm;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const bill_origin &) const =
      default; // NOLINT(readability-identifier-naming)
};

/// Bills that peers have asked this VM to hold while the store is away.
/// Thread-safe (lock_rank::Ledger).
class custody_table {
public:
  /// Returns false, holding nothing, when the holder is full.
  bool hold(const bill_origin &Origin, const std::vector<std::string> &Bills);
  void release(const bill_origin &Origin, const std::vector<std::string> &Keys);
  /// Takes out the encoded bills whose origin satisfies IsGone, for this VM to
  /// commit as its own. The ledger is a set, so that a bill which its origin
  /// wrote after all does no harm.
  std::vector<std::string>
  takeOrphanedBills(const std::function<bool(const bill_origin &)> &IsGone);
  std::size_t size();

private:
  ranked_mutex Mutex{lock_rank::Ledger};
  std::map<bill_origin, std::map<std::string, std::string>> BillsByOrigin;
  std::size_t Count = 0;
};

} // namespace azurehaven
