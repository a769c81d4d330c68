#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/ranked_mutex.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace azurehaven {

/// One process of a VM. A restarted VM no longer has the bills that its
/// previous process had not written.
struct bill_origin {
  vm_id Vm;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const bill_origin &) const =
      default; // NOLINT(readability-identifier-naming)
};

/// Bills in custody: copies that this VM holds for peers while the store is
/// unavailable. Thread-safe (lock_rank::Ledger).
class custody_table {
public:
  /// Returns false if the table is full or a bill can't be decoded. A full
  /// table takes none of the bills.
  bool hold(const bill_origin &Origin, const std::vector<std::string> &Bills);
  /// Removes bills that their origin has written to the store.
  void release(const bill_origin &Origin, const std::vector<std::string> &Keys);
  /// Removes and returns the encoded bills whose origin satisfies IsGone, for
  /// this VM to commit. Readers of the ledger remove duplicates, so a bill that
  /// its origin has already written is charged once.
  std::vector<std::string>
  takeOrphanedBills(const std::function<bool(const bill_origin &)> &IsGone);
  std::size_t size();

private:
  ranked_mutex Mutex{lock_rank::Ledger};
  std::map<bill_origin, std::map<std::string, std::string>> BillsByOrigin;
  std::size_t Count = 0;
};

} // namespace azurehaven
