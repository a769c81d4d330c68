#pragma once

#include "LibStore/store.h"
#include "LibTypes/ids.h"
#include "LibTypes/ranked_mutex.h"
#include "LibTypes/units.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace azurehaven {

/// The store's keys of claims: claim/ACCOUNT/REQUEST.
inline const std::string ClaimPrefix = "claim/";

struct claim_key {
  client_account_id Account;
  request_id Request;
  std::uint64_t BodyFingerprint = 0;
};

/// The answer that a claimed request got.
struct recorded_response {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// False when the body was too long to be kept.
  bool HasBody = true;
};

/// This VM alone may send the request, once.
struct claim_granted {
  std::uint64_t Revision = 0;
};
/// The request has run; this is its answer.
struct claim_finished {
  recorded_response Response;
};
/// Another attempt holds the claim: the request may have run.
struct claim_taken {};
/// The id stands for a request with another body.
struct claim_body_mismatch {};
/// The store could not tell; nothing has been sent.
struct claim_unavailable {
  std::string Message;
};

using claim_result = std::variant<claim_granted, claim_finished, claim_taken,
                                  claim_body_mismatch, claim_unavailable>;

/// Guards non-idempotent requests: a claim is created in the store before the
/// request is sent, and whoever has not created it does not send.
/// Thread-safe (lock_rank::Claims); calls block on the store.
class claim_registry {
public:
  claim_registry(store &Store, vm_id Self, std::uint64_t Incarnation);

  claim_result claim(const claim_key &Key);
  /// Records the answer; retried by retryPendingWrites() while the store is
  /// away.
  void recordResponse(const claim_key &Key, const claim_granted &Claim,
                      const recorded_response &Response);
  /// Gives the claim up: no byte of the request can have been sent.
  void abandon(const claim_key &Key, const claim_granted &Claim);
  /// Writes again what the store has not confirmed yet.
  void retryPendingWrites();
  /// What is known of a request; NotFound if it was never claimed.
  result<std::optional<recorded_response>> readResponse(const claim_key &Key);
  std::size_t pendingWriteCount();

private:
  /// A write to a claim of this VM that the store has not confirmed.
  struct pending_write {
    std::string StoreKey;
    std::string Value;
    /// The claim is this VM's if it carries this nonce ...
    std::string Nonce;
    /// ... or still has this revision.
    std::uint64_t Revision = AbsentRevision;

    bool operator==(const pending_write &) const = default;
  };

  std::string newNonce();
  claim_result resolveExistingClaim(const std::string &StoreKey,
                                    const claim_key &Key,
                                    const std::string &Nonce);
  void settle(const pending_write &Write);
  /// Returns whether the write is settled, in effect or for ever refused.
  bool trySettle(const pending_write &Write);
  void forget(const pending_write &Write);

  store &Store;
  const vm_id Self;
  const std::uint64_t Incarnation;

  ranked_mutex Mutex{lock_rank::Claims};
  std::uint64_t NextNonce = 1;
  std::map<std::string, pending_write> Pending;
};

} // namespace azurehaven
