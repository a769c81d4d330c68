#pragma once

#include "LibConfig/configuration.h"

namespace azurehaven {

/// A session and the account, class and model version that all of its requests
/// use.
struct session {
  client_account_id Account;
  class_id Class;
  version_id Version;
  unix_millis StartedAt;
  /// Distinguishes sessions with the same bindings.
  std::string Nonce;
};

constexpr milliseconds SessionLifetime = std::chrono::hours(24);

/// Returns a token signed with the newest key, or Unavailable if there is none.
result<std::string> issueSessionToken(const session &Session,
                                      const std::vector<session_key> &Keys);

/// Verifies the MAC, the account and the age.
/// Returns InvalidInput for a token that is malformed, signed with an unknown
/// key, altered, issued to another account, or older than SessionLifetime.
result<session> verifySessionToken(const std::string &Token,
                                   const client_account_id &Account,
                                   const std::vector<session_key> &Keys,
                                   unix_millis Now);

} // namespace azurehaven
