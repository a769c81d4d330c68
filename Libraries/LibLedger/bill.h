#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/result.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <string>

namespace azurehaven {

/// The charge of one request to its client account. Identified by the account,
/// the request id and the fingerprint of the request's body, so that a resend
/// of the same request yields the same bill.
struct bill {
  client_account_id Account;
  request_id Request;
  std::uint64_t BodyFingerprint = 0;
  class_id Class;
  /// The model version that answered; empty for a plain service.
  version_id Version;
  service_id Service;
  token_count PromptTokens;
  token_count CompletionTokens;
  /// Charged to the account.
  micro_euros Price;
  /// Total cost of all attempts, including cascades and retries.
  micro_euros Cost;
  unix_millis At;
  vm_id Vm;

  /// The bill's identity as text; the same request has the same key in every
  /// process.
  std::string key() const;
};

std::string encodeBill(const bill &Bill);
/// Returns InvalidInput if the text is not an encoded bill.
result<bill> decodeBill(const std::string &Text);

} // namespace azurehaven
