#include "LibRelay/request_bill.h"

#include <cmath>

namespace azurehaven {

namespace {

/// Cost of a prompt token as a fraction of the cost of a generated token.
constexpr double PromptTokenCostRatio = 0.25;
constexpr double MicroEurosPerEuro = 1e6;

} // namespace

micro_euros attemptCost(const admitted_request &Admitted,
                        std::optional<std::size_t> ModelIndex) {
  const endpoint_pool *Pool = Admitted.pool();
  if (!Pool || !ModelIndex)
    return micro_euros(0);
  const dispatch_request &Request = Admitted.Request;
  const double Tokens =
      Request.OutputTokens + Request.PromptTokens * PromptTokenCostRatio;
  const double CostPerToken =
      Pool->costPerThousandTokens(Admitted.Route->ModelsBySize[*ModelIndex]) /
      1000;
  return micro_euros(std::llround(CostPerToken * Tokens * MicroEurosPerEuro));
}

bill makeBill(const admitted_request &Admitted,
              std::optional<std::size_t> ModelIndex, const std::string &Release,
              micro_euros Cost, unix_millis At, const vm_id &Vm) {
  bill Bill;
  Bill.Account = Admitted.Account.Account;
  Bill.Request = Admitted.Request.Id;
  Bill.BodyFingerprint = Admitted.Fingerprint.content();
  Bill.Class = class_id(Admitted.Route->Name);
  if (ModelIndex)
    Bill.Version = version_id(Admitted.Route->ModelsBySize[*ModelIndex].text() +
                              "@" + Release);
  Bill.Service = Admitted.Service;
  Bill.PromptTokens = token_count(Admitted.Request.PromptTokens);
  Bill.CompletionTokens = token_count(Admitted.Request.OutputTokens);
  Bill.Price = attemptCost(Admitted, ModelIndex);
  Bill.Cost = Cost;
  Bill.At = At;
  Bill.Vm = Vm;
  return Bill;
}

} // namespace azurehaven
