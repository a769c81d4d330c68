#pragma once

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/endpoint_registry.h"
#include "LibHttp/message_head.h"
#include "LibTypes/result.h"

#include <optional>
#include <string>

namespace azurehaven {

/// Parameters that the relay adds to a request for one attempt.
struct attempt_parameters {
  /// An endpoint with another id must refuse the request.
  endpoint_id Endpoint;
  network_address Address;
  client_account_id Account;
  milliseconds TimeLeft{0};
  /// Set if the system chooses the model.
  std::optional<model_id> Model;
  /// 0 to 9; the engine admits lower values first. Nullopt for the default.
  std::optional<int> Urgency;
  /// Id of the last event that the caller has; the stream resumes after it.
  std::optional<std::uint64_t> ResumeAfter;
  std::size_t BodySize = 0;
};

/// Parameters that the relay adds to a request that it forwards to another VM.
struct forwarding_parameters {
  forwarding_origin Origin;
  milliseconds TimeLeft{0};
  /// As for an attempt.
  std::optional<std::uint64_t> ResumeAfter;
  std::size_t BodySize = 0;
};

/// The decoded head of an endpoint's response.
struct decoded_response_head {
  int Status = 0;
  /// The request that the response belongs to; nullopt if it names none.
  std::optional<request_id> EchoedRequestId;
  /// The response carries the endpoint's signature.
  bool IsSigned = false;
  bool WasNotExecuted = false;
  /// The address now belongs to another endpoint.
  bool IsMisdirected = false;
  /// The endpoint is leaving and wants no new requests.
  bool IsLeaving = false;
  /// Set if the endpoint sheds load: it wants nothing from this VM for so long.
  std::optional<milliseconds> RetryAfter;
  /// Requests per second that the endpoint accepts from all VMs together.
  std::optional<double> RequestsPerSecond;
  /// Set if the endpoint is brittle: rejections per second that it bears.
  std::optional<double> RejectionsPerSecond;
  /// The response names a limit that can't be read.
  bool HasUnreadableLimit = false;
  /// Name of a field that was ignored because it is malformed; null if none.
  const char *MalformedField = nullptr;
  bool HasContentEncoding = false;
  bool IsEventStream = false;
  std::optional<reported_load> Load;
  /// The model's confidence in its response, 0 to 100.
  std::optional<int> Confidence;
  /// How long the endpoint keeps an idle connection open.
  milliseconds IdleLimit{4000};
};

/// Encodes and decodes the header fields that the relay exchanges with callers
/// and endpoints.
class wire_codec {
public:
  virtual ~wire_codec() = default;

  /// Errors: InvalidInput for a malformed request.
  virtual result<dispatch_request>
  decodeRequest(const request_head &Head) const = 0;
  virtual std::string
  encodeRequestHead(const request_head &Head, const dispatch_request &Request,
                    const attempt_parameters &Parameters) const = 0;
  virtual std::string
  encodeForwardedHead(const request_head &Head,
                      const forwarding_parameters &Parameters) const = 0;
  /// Reads what another VM has added to a request that it forwards. Errors:
  /// InvalidInput if that is missing or malformed.
  virtual result<forwarding_origin>
  decodeOrigin(const request_head &Head) const = 0;
  virtual decoded_response_head decodeResponseHead(const response_head &Head,
                                                   steady_time Now) const = 0;
  /// The fields of an endpoint's response that are forwarded to the caller.
  virtual http_headers forwardedHeaders(const response_head &Head) const = 0;
  /// The fields of a response that the relay itself generates.
  virtual http_headers
  localResponseHeaders(const request_id &Id,
                       std::optional<milliseconds> RetryAfter) const = 0;
};

} // namespace azurehaven
