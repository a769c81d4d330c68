#include "LibLedger/custody_table.h"

#include "LibLedger/bill.h"

namespace azurehaven {

namespace {

constexpr std::size_t HeldBillLimit = 200000;

} // namespace

bool custody_table::hold(const bill_origin &Origin,
                         const std::vector<std::string> &Bills) {
  std::lock_guard Lock(Mutex);
  if (Count + Bills.size() > HeldBillLimit)
    return false;
  for (const auto &Text : Bills) {
    auto Bill = decodeBill(Text);
    if (isError(Bill))
      return false;
    if (BillsByOrigin[Origin].emplace(valueOf(Bill).key(), Text).second)
      ++Count;
  }
  return true;
}

void custody_table::release(const bill_origin &Origin,
                            const std::vector<std::string> &Keys) {
  std::lock_guard Lock(Mutex);
  auto Found = BillsByOrigin.find(Origin);
  if (Found == BillsByOrigin.end())
    return;
  for (const auto &Key : Keys)
    Count -= Found->second.erase(Key);
  if (Found->second.empty())
    BillsByOrigin.erase(Found);
}

std::vector<std::string> custody_table::takeOrphanedBills(
    const std::function<bool(const bill_origin &)> &IsGone) {
  std::vector<bill_origin> Origins;
  {
    std::lock_guard Lock(Mutex);
    for (const auto &[Origin, Bills] : BillsByOrigin)
      Origins.push_back(Origin);
  }
  // IsGone takes the membership lock, which ranks below this one and so must
  // not be taken while this one is held.
  std::erase_if(Origins,
                [&](const bill_origin &Origin) { return !IsGone(Origin); });
  std::vector<std::string> Orphans;
  std::lock_guard Lock(Mutex);
  for (const auto &Origin : Origins) {
    for (auto &[Key, Text] : BillsByOrigin[Origin])
      Orphans.push_back(std::move(Text));
    Count -= BillsByOrigin[Origin].size();
    BillsByOrigin.erase(Origin);
  }
  return Orphans;
}

std::size_t custody_table::size() {
  std::lock_guard Lock(Mutex);
  return Count;
}

} // namespace azurehaven
