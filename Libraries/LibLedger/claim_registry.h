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

/// Prefix of the claims' keys in the store: claim/LENGTH/ACCOUNT/REQUEST, with
/// the length of the account id.
inline const std::string ClaimPrefix = "claim/";

struct claim_key {
  client_account_id Account;
  request_id Request;
  std::uint64_t BodyFingerprint = 0;
};

/// The response to a claimed request, as recorded in the store.
struct recorded_response {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// False if the body was too long to be recorded.
  bool HasBody = true;
};

/// The caller holds the claim and may send the request once.
struct claim_granted {
  /// Of the claim in the store.
  std::uint64_t Revision = 0;
};
/// The request has run and its response is recorded.
struct claim_finished {
  recorded_response Response;
};
/// Another call of claim() holds the claim, so the request may have run.
struct claim_taken {};
/// The request id was claimed for a request with another body.
struct claim_body_mismatch {};
/// The store didn't confirm a claim. The request must not be sent.
struct claim_unavailable {
  std::string Message;
};

using claim_result = std::variant<claim_granted, claim_finished, claim_taken,
                                  claim_body_mismatch, claim_unavailable>;

/// Runs non-idempotent requests at most once: before a request is sent, a claim
/// is created in the store, and only the process that holds it sends.
/// Thread-safe (lock_rank::Claims); calls block on the store.
class claim_registry {
public:
  claim_registry(store &Store, vm_id Self, std::uint64_t Incarnation);

  /// Creates the claim, or takes over one that was abandoned.
  claim_result claim(const claim_key &Key);
  /// Records the response. If the store fails, retryPendingWrites() retries.
  void recordResponse(const claim_key &Key, const claim_granted &Claim,
                      const recorded_response &Response);
  /// Abandons the claim so that a resend can run. Call it only if no byte of
  /// the request can have been sent.
  void abandon(const claim_key &Key, const claim_granted &Claim);
  /// Retries the writes that the store has not confirmed.
  void retryPendingWrites();
  /// Reads the recorded response; nullopt if none is recorded yet, so that the
  /// request may have run. Returns NotFound if the request was never claimed or
  /// its claim was abandoned.
  result<std::optional<recorded_response>> readResponse(const claim_key &Key);
  std::size_t pendingWriteCount();

private:
  /// A write to a claim of this VM that the store has not confirmed.
  struct pending_write {
    std::string StoreKey;
    std::string Value;
    /// The claim belongs to this write if it has this nonce ...
    std::string Nonce;
    /// ... or this revision.
    std::uint64_t Revision = AbsentRevision;

    bool operator==(const pending_write &) const = default;
  };

  std::string newNonce();
  /// Reads the claim that exists under the key, and takes it over if it was
  /// abandoned.
  claim_result resolveExistingClaim(const std::string &StoreKey,
                                    const claim_key &Key,
                                    const std::string &Nonce);
  /// Writes once; on failure the write becomes pending.
  void writeOrQueue(const pending_write &Write);
  /// Returns whether the write needs no further retry: it took effect, or the
  /// claim no longer belongs to it.
  bool retryWrite(const pending_write &Write);
  void removePending(const pending_write &Write);

  store &Store;
  const vm_id Self;
  const std::uint64_t Incarnation;

  ranked_mutex Mutex{lock_rank::Claims};
  std::uint64_t NextNonce = 1;
  std::map<std::string, pending_write> Pending;
};

} // namespace azurehaven
