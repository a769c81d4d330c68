#include "LibLedger/claim_registry.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr std::size_t RecordedBodyLimitBytes = 256 * 1024;

constexpr const char *StateClaimed = "claimed";
constexpr const char *StateAbandoned = "abandoned";
constexpr const char *StateFinished = "finished";

std::string storeKeyOf(const claim_key &Key) {
  // The length prefix distinguishes ("a/b", "c") from ("a", "b/c").
  return ClaimPrefix + std::to_string(Key.Account.text().size()) + "/" +
         Key.Account.text() + "/" + Key.Request.text();
}

std::string encodeClaim(const std::string &Nonce, std::uint64_t Fingerprint,
                        const char *State) {
  return json{{"nonce", Nonce}, {"body", Fingerprint}, {"state", State}}.dump();
}

std::string encodeFinished(const std::string &Nonce, std::uint64_t Fingerprint,
                           const recorded_response &Response) {
  const bool HasBody = Response.Body.size() <= RecordedBodyLimitBytes;
  return json{{"nonce", Nonce},
              {"body", Fingerprint},
              {"state", StateFinished},
              {"status", Response.Status},
              {"content_type", Response.ContentType},
              {"has_answer", HasBody},
              {"answer", HasBody ? Response.Body : std::string()}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

struct stored_claim {
  std::string Nonce;
  std::uint64_t BodyFingerprint = 0;
  std::string State;
  recorded_response Response;
};

std::optional<stored_claim> decodeClaim(const std::string &Text) {
  try {
    const json Item = json::parse(Text);
    stored_claim Claim;
    Claim.Nonce = Item.at("nonce").get<std::string>();
    Claim.BodyFingerprint = Item.at("body").get<std::uint64_t>();
    Claim.State = Item.at("state").get<std::string>();
    if (Claim.State == StateFinished)
      Claim.Response = {Item.at("status").get<int>(),
                        Item.at("content_type").get<std::string>(),
                        Item.at("answer").get<std::string>(),
                        Item.at("has_answer").get<bool>()};
    return Claim;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace

claim_registry::claim_registry(store &Store, vm_id Self,
                               std::uint64_t Incarnation)
    : Store(Store), Self(std::move(Self)), Incarnation(Incarnation) {}

std::string claim_registry::newNonce() {
  std::lock_guard Lock(Mutex);
  return Self.text() + "/" + std::to_string(Incarnation) + "/" +
         std::to_string(NextNonce++);
}

claim_result claim_registry::claim(const claim_key &Key) {
  const std::string StoreKey = storeKeyOf(Key);
  const std::string Nonce = newNonce();
  auto Created = Store.compareAndSwap(
      store_purpose::Claim, StoreKey,
      encodeClaim(Nonce, Key.BodyFingerprint, StateClaimed), AbsentRevision);
  if (!isError(Created))
    return claim_granted{valueOf(Created)};
  const error &Error = errorOf(Created);
  if (Error.Code == error_code::Unavailable)
    return claim_unavailable{Error.Message};
  claim_result Result = resolveExistingClaim(StoreKey, Key, Nonce);
  if (Error.Code == error_code::OutcomeUnknown &&
      std::holds_alternative<claim_unavailable>(Result)) {
    // The claim may exist although this process won't send the request. Unless
    // the claim is abandoned, a resend gets the response that the request may
    // have run.
    std::lock_guard Lock(Mutex);
    Pending[StoreKey] = {
        StoreKey, encodeClaim(Nonce, Key.BodyFingerprint, StateAbandoned),
        Nonce, AbsentRevision};
  }
  return Result;
}

claim_result claim_registry::resolveExistingClaim(const std::string &StoreKey,
                                                  const claim_key &Key,
                                                  const std::string &Nonce) {
  auto Entry = Store.read(store_purpose::Claim, StoreKey);
  if (isError(Entry))
    return claim_unavailable{errorOf(Entry).Message};
  auto Claim = decodeClaim(valueOf(Entry).Value);
  if (!Claim)
    return claim_taken{};
  if (Claim->Nonce == Nonce)
    return claim_granted{valueOf(Entry).Revision};
  if (Claim->BodyFingerprint != Key.BodyFingerprint)
    return claim_body_mismatch{};
  if (Claim->State == StateFinished)
    return claim_finished{Claim->Response};
  if (Claim->State != StateAbandoned)
    return claim_taken{};
  auto Swapped = Store.compareAndSwap(
      store_purpose::Claim, StoreKey,
      encodeClaim(Nonce, Key.BodyFingerprint, StateClaimed),
      valueOf(Entry).Revision);
  if (!isError(Swapped))
    return claim_granted{valueOf(Swapped)};
  if (errorOf(Swapped).Code == error_code::Conflict)
    return claim_taken{};
  // The swap may have taken effect although its response was lost. Safety
  // doesn't require abandoning the claim: a resend gets the response that the
  // request may have run.
  return claim_unavailable{errorOf(Swapped).Message};
}

void claim_registry::recordResponse(const claim_key &Key,
                                    const claim_granted &Claim,
                                    const recorded_response &Response) {
  writeOrQueue({storeKeyOf(Key),
                encodeFinished({}, Key.BodyFingerprint, Response),
                {},
                Claim.Revision});
}

void claim_registry::abandon(const claim_key &Key, const claim_granted &Claim) {
  writeOrQueue({storeKeyOf(Key),
                encodeClaim({}, Key.BodyFingerprint, StateAbandoned),
                {},
                Claim.Revision});
}

void claim_registry::writeOrQueue(const pending_write &Write) {
  // Only the holder of the claim writes a claimed entry, so a conflict means
  // that an earlier write of the same value took effect.
  auto Swapped = Store.compareAndSwap(store_purpose::Claim, Write.StoreKey,
                                      Write.Value, Write.Revision);
  if (!isError(Swapped) || errorOf(Swapped).Code == error_code::Conflict)
    return;
  std::lock_guard Lock(Mutex);
  Pending[Write.StoreKey] = Write;
}

void claim_registry::retryPendingWrites() {
  std::map<std::string, pending_write> Writes;
  {
    std::lock_guard Lock(Mutex);
    Writes = Pending;
  }
  for (const auto &[StoreKey, Write] : Writes) {
    if (!retryWrite(Write))
      return;
    removePending(Write);
  }
}

bool claim_registry::retryWrite(const pending_write &Write) {
  auto Entry = Store.read(store_purpose::Claim, Write.StoreKey);
  if (isError(Entry))
    return errorOf(Entry).Code == error_code::NotFound;
  auto Claim = decodeClaim(valueOf(Entry).Value);
  const bool IsOwnClaim = Claim && Claim->State == StateClaimed &&
                          (Claim->Nonce == Write.Nonce ||
                           valueOf(Entry).Revision == Write.Revision);
  if (!IsOwnClaim)
    return true;
  auto Swapped = Store.compareAndSwap(store_purpose::Claim, Write.StoreKey,
                                      Write.Value, valueOf(Entry).Revision);
  return !isError(Swapped) || errorOf(Swapped).Code == error_code::Conflict;
}

void claim_registry::removePending(const pending_write &Write) {
  std::lock_guard Lock(Mutex);
  auto Found = Pending.find(Write.StoreKey);
  if (Found != Pending.end() && Found->second == Write)
    Pending.erase(Found);
}

result<std::optional<recorded_response>>
claim_registry::readResponse(const claim_key &Key) {
  TRY(store_entry Entry, Store.read(store_purpose::Claim, storeKeyOf(Key)));
  auto Claim = decodeClaim(Entry.Value);
  if (Claim && Claim->State == StateAbandoned)
    return error{error_code::NotFound, "the request has not run"};
  if (!Claim || Claim->State != StateFinished)
    return std::optional<recorded_response>();
  return std::optional<recorded_response>(Claim->Response);
}

std::size_t claim_registry::pendingWriteCount() {
  std::lock_guard Lock(Mutex);
  return Pending.size();
}

} // namespace azurehaven
