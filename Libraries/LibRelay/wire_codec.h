#pragma once

#include "LibConnection/message_head.h"
#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/endpoint_registry.h"
#include "LibTypes/result.h"

#include <optional>
#include <string>

namespace azurehaven {

/// What the system adds to one send of a request.
struct attempt_parameters {
  /// An endpoint with another id is to refuse the request.
  endpoint_id Endpoint;
  network_address Address;
  client_account_id Account;
  milliseconds TimeLeft{0};
  /// Set where the system chooses the model.
  std::optional<model_id> Model;
  /// Admitted before work of a higher number, 0 to 9; nullopt for the usual.
  std::optional<int> Urgency;
  /// The stream is to go on after this event.
  std::optional<std::uint64_t> ResumeAfter;
  std::size_t BodySize = 0;
};

/// What the head of an endpoint's response says.
struct decoded_response_head {
  int Status = 0;
  /// Nullopt when the response names no request.
  std::optional<request_id> EchoedRequestId;
  /// Carries the endpoint's signature of its answer.
  bool IsSigned = false;
  bool WasNotExecuted = false;
  /// Another endpoint has the address.
  bool IsMisdirected = false;
  bool HasContentEncoding = false;
  bool IsEventStream = false;
  std::optional<reported_load> Load;
  /// The model's own opinion of its answer, 0 to 100.
  std::optional<int> Confidence;
  /// How long the endpoint keeps the connection open when idle.
  milliseconds IdleLimit{4000};
};

/// Reads and writes the header fields of the callers' and the endpoints'
/// protocol.
class wire_codec {
public:
  virtual ~wire_codec() = default;

  /// Errors: InvalidInput for a request that can't be understood.
  virtual result<dispatch_request>
  decodeRequest(const request_head &Head) const = 0;
  virtual std::string
  encodeRequestHead(const request_head &Head, const dispatch_request &Request,
                    const attempt_parameters &Send) const = 0;
  virtual decoded_response_head decodeResponseHead(const response_head &Head,
                                                   steady_time Now) const = 0;
  /// The fields of an endpoint's response that the caller gets.
  virtual http_headers forwardedHeaders(const response_head &Head) const = 0;
  /// The fields of an answer of the system itself.
  virtual http_headers
  localResponseHeaders(const request_id &Id,
                       std::optional<milliseconds> RetryAfter) const = 0;
};

} // namespace azurehaven
