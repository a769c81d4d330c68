#include "LibEntry/chat_bill.h"

namespace azurehaven {

namespace {

/// Prices are per this many tokens.
constexpr std::int64_t PricedTokens = 1000;

} // namespace

micro_euros priceOf(const configuration &Configuration,
                    const version_id &Version, const engine_finish &Finish) {
  const model_version *Declared = Configuration.findVersion(Version);
  if (!Declared)
    return micro_euros(0);
  const std::int64_t Total =
      Finish.PromptTokens.count() * Declared->PromptPrice.count() +
      Finish.CompletionTokens.count() * Declared->CompletionPrice.count();
  return micro_euros(Total / PricedTokens);
}

bill makeChatBill(const chat_request &Request, const version_id &Version,
                  const engine_finish &Finish, micro_euros Cost, unix_millis At,
                  const vm_id &Vm) {
  bill Bill;
  Bill.Account = Request.Account.Id;
  Bill.Request = Request.Id;
  Bill.BodyFingerprint = Request.BodyFingerprint;
  Bill.Class = Request.Class.Id;
  Bill.Version = Version;
  Bill.PromptTokens = Finish.PromptTokens;
  Bill.CompletionTokens = Finish.CompletionTokens;
  Bill.Price = priceOf(*Request.Configuration, Version, Finish);
  Bill.Cost = Cost;
  Bill.At = At;
  Bill.Vm = Vm;
  return Bill;
}

} // namespace azurehaven
