#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/result.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <string>

namespace azurehaven {

/// What one request costs its client account. Identified by the account, the
/// request id and the fingerprint of the request's body, so that a resend of
/// the same request is the same bill.
struct bill {
  client_account_id Account;
  request_id Request;
  std::uint64_t BodyFingerprint = 0;
  class_id Class;
  /// The version that the answer came from; empty for a plain service.
  version_id Version;
  service_id Service;
  token_count PromptTokens;
  token_count CompletionTokens;
  /// What the account pays.
  micro_euros Price;
  /// What all attempts cost together, cascades and retries included.
  micro_euros Cost;
  unix_millis At;
  vm_id Vm;

  /// Equal for equal requests, in any process.
  std::string key() const;
};

std::string encodeBill(const bill &Bill);
result<bill> decodeBill(const std::string &Text);

} // namespace azurehaven
