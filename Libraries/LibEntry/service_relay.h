#pragma once

#include "LibEntry/chat_request.h"
#include "LibEntry/entry_services.h"

namespace azurehaven {

/// Forwards calls to plain services: /v1/services/SERVICE/PATH. A call that may
/// not be repeated is claimed in the store before it is sent, and is delivered
/// to an endpoint at most once. Thread-safe.
class service_relay {
public:
  explicit service_relay(const entry_services &Services) : Services(Services) {}

  served_response serve(const served_request &Request,
                        const caller_identity &Identity,
                        const configuration &Configuration);
  /// Reports the recorded outcome of a claimed request.
  served_response serveOutcome(const caller_identity &Identity);

private:
  struct call {
    const served_request *Request;
    caller_identity Identity;
    plain_service Service;
    /// The path to request from the endpoint.
    std::string Path;
    /// Fingerprint of the method, the path and the body.
    std::uint64_t BodyFingerprint;
  };
  using send_result = std::variant<http_response, refusal>;

  served_response serveNonRepeatable(const call &Call);
  served_response serveRepeatable(const call &Call);
  served_response runClaimed(const call &Call, const claim_key &Key,
                             const claim_granted &Claim);
  served_response replay(const call &Call, const recorded_response &Recorded);
  /// Tries endpoints in turn until one may have received the request. Returns a
  /// refusal if none has.
  std::variant<http_response, http_failure, refusal>
  sendUntilDelivered(const call &Call, connection_use ConnectionUse);
  std::variant<http_response, http_failure>
  sendTo(const call &Call, const attempt &Attempt,
         connection_use ConnectionUse);
  served_response billAndRespond(const call &Call,
                                 const recorded_response &Recorded);
  bool commitCallBill(const call &Call);

  const entry_services &Services;
};

} // namespace azurehaven
