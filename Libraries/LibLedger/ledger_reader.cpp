#include "LibLedger/ledger_reader.h"

#include "LibLedger/bill_committer.h"

#include <nlohmann/json.hpp>
#include <set>

namespace azurehaven {

result<std::vector<bill>> readLedger(store &Store,
                                     std::optional<client_account_id> Account) {
  TRY(std::vector<store_entry> Segments,
      Store.list(store_purpose::Bill, BillPrefix, 0));
  std::vector<bill> Bills;
  std::set<std::string> Seen;
  for (const auto &Segment : Segments) {
    auto Texts = nlohmann::json::parse(Segment.Value, nullptr, false);
    if (!Texts.is_array())
      return error{error_code::Internal,
                   "malformed ledger segment " + Segment.Key};
    for (const auto &Text : Texts) {
      TRY(bill Bill, decodeBill(Text.is_string() ? Text.get<std::string>()
                                                 : std::string()));
      if (!Seen.insert(Bill.key()).second)
        continue;
      if (!Account || Bill.Account == *Account)
        Bills.push_back(std::move(Bill));
    }
  }
  return Bills;
}

} // namespace azurehaven
