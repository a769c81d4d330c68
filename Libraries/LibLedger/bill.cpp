#include "LibLedger/bill.h"

#include "LibTypes/utf8.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

std::string bill::key() const {
  return json::array({escapeInvalidUtf8(Account.text()),
                      escapeInvalidUtf8(Request.text()), BodyFingerprint})
      .dump();
}

std::string encodeBill(const bill &Bill) {
  // The id is the caller's, who may send any bytes.
  return json{{"account", escapeInvalidUtf8(Bill.Account.text())},
              {"request", escapeInvalidUtf8(Bill.Request.text())},
              {"body", Bill.BodyFingerprint},
              {"class", escapeInvalidUtf8(Bill.Class.text())},
              {"version", escapeInvalidUtf8(Bill.Version.text())},
              {"service", escapeInvalidUtf8(Bill.Service.text())},
              {"prompt_tokens", Bill.PromptTokens.count()},
              {"completion_tokens", Bill.CompletionTokens.count()},
              {"price_micro_euros", Bill.Price.count()},
              {"cost_micro_euros", Bill.Cost.count()},
              {"at_ms", Bill.At.count()},
              {"vm", escapeInvalidUtf8(Bill.Vm.text())}}
      .dump();
}

result<bill> decodeBill(const std::string &Text) {
  try {
    const json Item = json::parse(Text);
    bill Bill;
    Bill.Account = client_account_id(Item.at("account").get<std::string>());
    Bill.Request = request_id(Item.at("request").get<std::string>());
    Bill.BodyFingerprint = Item.at("body").get<std::uint64_t>();
    Bill.Class = class_id(Item.at("class").get<std::string>());
    Bill.Version = version_id(Item.at("version").get<std::string>());
    Bill.Service = service_id(Item.at("service").get<std::string>());
    Bill.PromptTokens =
        token_count(Item.at("prompt_tokens").get<std::int64_t>());
    Bill.CompletionTokens =
        token_count(Item.at("completion_tokens").get<std::int64_t>());
    Bill.Price = micro_euros(Item.at("price_micro_euros").get<std::int64_t>());
    Bill.Cost = micro_euros(Item.at("cost_micro_euros").get<std::int64_t>());
    Bill.At = unix_millis(Item.at("at_ms").get<std::int64_t>());
    Bill.Vm = vm_id(Item.at("vm").get<std::string>());
    return Bill;
  } catch (const json::exception &Exception) {
    return error{error_code::InvalidInput,
                 std::string("bill: ") + Exception.what()};
  }
}

} // namespace azurehaven
