#include "LibRelay/request_bill.h"

#include <cmath>

namespace azurehaven {

namespace {

/// What a prompt token costs of a generated one.
constexpr double PromptTokenPart = 0.25;
constexpr double MicroEuros = 1e6;

} // namespace

micro_euros attemptCost(const admitted_request &Subject,
                        std::optional<std::size_t> ModelIndex) {
  const endpoint_pool *Pool = Subject.pool();
  if (!Pool || !ModelIndex)
    return micro_euros(0);
  const dispatch_request &Request = Subject.Request;
  const double Tokens =
      Request.OutputTokens + Request.PromptTokens * PromptTokenPart;
  const double CostPerToken =
      Pool->costPerThousandTokens(Subject.Route->ModelsBySize[*ModelIndex]) /
      1000;
  return micro_euros(std::llround(CostPerToken * Tokens * MicroEuros));
}

bill makeBill(const admitted_request &Subject,
              std::optional<std::size_t> ModelIndex, const std::string &Release,
              micro_euros Cost, unix_millis At, const vm_id &Vm) {
  bill Bill;
  Bill.Account = Subject.Account.Account;
  Bill.Request = Subject.Request.Id;
  Bill.BodyFingerprint = Subject.Fingerprint;
  Bill.Class = class_id(Subject.Route->Name);
  if (ModelIndex)
    Bill.Version = version_id(Subject.Route->ModelsBySize[*ModelIndex].text() +
                              "@" + Release);
  Bill.Service = Subject.Service;
  Bill.PromptTokens = token_count(Subject.Request.PromptTokens);
  Bill.CompletionTokens = token_count(Subject.Request.OutputTokens);
  Bill.Price = attemptCost(Subject, ModelIndex);
  Bill.Cost = Cost;
  Bill.At = At;
  Bill.Vm = Vm;
  return Bill;
}

} // namespace azurehaven
