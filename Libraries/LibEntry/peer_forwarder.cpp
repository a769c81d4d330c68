#include "LibEntry/peer_forwarder.h"

#include "LibEntry/refusal.h"
#include "LibTypes/fingerprint.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace azurehaven {

namespace {

constexpr const char *ForwardedByField = "X-Forwarded-By-Vm";
constexpr const char *RequestIdField = "X-Request-Id";
/// Fields that concern the caller's connection, or that are set anew.
constexpr std::array<const char *, 6> UnforwardedFields = {
    "Connection",        "Content-Length", "Host",
    "Transfer-Encoding", ForwardedByField, RequestIdField};
constexpr std::size_t MaximumPeers = 2;
constexpr http_timeouts PeerTimeouts{milliseconds(300), milliseconds(15000)};
constexpr int StatusUnavailable = 503;
constexpr int StatusTooManyRequests = 429;

/// Names of header fields do not depend on case (RFC 9110, section 5.1).
bool hasName(const http_headers::value_type &Field, const char *Name) {
  return equalsIgnoringCase(Field.first, Name);
}

bool isForwardedField(const http_headers::value_type &Field) {
  return std::none_of(UnforwardedFields.begin(), UnforwardedFields.end(),
                      [&](const char *Name) { return hasName(Field, Name); });
}

http_headers forwardedFields(const http_headers &Fields) {
  http_headers Forwarded;
  std::copy_if(Fields.begin(), Fields.end(), std::back_inserter(Forwarded),
               isForwardedField);
  return Forwarded;
}

/// The body of another VM's response, which the caller's connection paces.
class forwarded_body : public body_source {
public:
  explicit forwarded_body(std::unique_ptr<http_stream> Stream)
      : Stream(std::move(Stream)) {}

  std::optional<std::string> next() override {
    auto Chunk = Stream->next();
    if (std::holds_alternative<http_failure>(Chunk))
      return std::nullopt;
    auto &Bytes = std::get<std::optional<std::string>>(Chunk);
    IsComplete = !Bytes.has_value();
    return std::move(Bytes);
  }
  bool isComplete() const override { return IsComplete; }

private:
  std::unique_ptr<http_stream> Stream;
  bool IsComplete = false;
};

/// The response without its body.
served_response makeResponseHead(const http_stream &Stream) {
  served_response Response;
  Response.Status = Stream.status();
  for (const auto &Field : Stream.headers()) {
    if (hasName(Field, "Content-Type"))
      Response.ContentType = Field.second;
    else if (Field.first.starts_with("X-") || hasName(Field, "Retry-After"))
      Response.Headers.push_back(Field);
  }
  return Response;
}

served_response streamResponse(std::unique_ptr<http_stream> Stream) {
  served_response Response = makeResponseHead(*Stream);
  Response.Source = std::make_unique<forwarded_body>(std::move(Stream));
  return Response;
}

/// What has arrived of the body.
std::string readBody(http_stream &Stream) {
  std::string Body;
  while (true) {
    auto Chunk = Stream.next();
    auto *Bytes = std::get_if<std::optional<std::string>>(&Chunk);
    if (!Bytes || !*Bytes)
      return Body;
    Body += **Bytes;
  }
}

/// Whether the body of a refusal says that the request has not run; see
/// encodeRefusal().
bool saysNotRun(const std::string &Body) {
  const auto Refusal = nlohmann::json::parse(Body, nullptr, false);
  if (!Refusal.is_object() || !Refusal.contains("error"))
    return false;
  const auto &Error = Refusal["error"];
  return Error.is_object() && Error.contains("run") &&
         Error["run"] == "not_run";
}

} // namespace

bool peer_forwarder::isForwarded(const served_request &Request) {
  return !headerValue(Request.Headers, ForwardedByField).empty();
}

std::optional<served_response>
peer_forwarder::forward(const served_request &Request, const std::string &Id) {
  auto Peers = Services.Members.servingEntries(Services.Clock.now());
  std::erase_if(Peers, [&](const entry_address &Entry) {
    return Entry.Vm == Services.Settings.Vm;
  });
  // Spreads the requests over all VMs.
  const std::uint64_t First = fingerprintOf(Id);
  const std::size_t Count = std::min(MaximumPeers, Peers.size());
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (auto Response =
            forwardTo(Peers[(First + Index) % Peers.size()], Request, Id))
      return Response;
  return std::nullopt;
}

std::optional<served_response>
peer_forwarder::forwardTo(const entry_address &Peer,
                          const served_request &Request,
                          const std::string &Id) {
  http_request Forwarded{Request.Method, Request.Path,
                         forwardedFields(Request.Headers), Request.Body};
  Forwarded.Headers.emplace_back(RequestIdField, Id);
  Forwarded.Headers.emplace_back(ForwardedByField, Services.Settings.Vm.text());
  Services.Metrics.increment("azurehaven_forwarded_requests_total");
  auto Opened = Services.Transport.open(Peer.Address, Forwarded, PeerTimeouts);
  const auto *Failure = std::get_if<http_failure>(&Opened);
  Services.Log.write(log_level::Info, "request_forwarded",
                     {{"request", Id},
                      {"to", Peer.Vm.text()},
                      {"outcome", Failure ? Failure->Message : "answered"}});
  if (Failure && Failure->Delivery == delivery::NotSent)
    return std::nullopt;
  if (Failure)
    return respondWith({502, "peer_failed", run_state::MayHaveRun,
                        "the VM that the request was forwarded to has failed",
                        std::nullopt},
                       Id);
  auto &Stream = std::get<std::unique_ptr<http_stream>>(Opened);
  if (Stream->status() != StatusUnavailable &&
      Stream->status() != StatusTooManyRequests)
    return streamResponse(std::move(Stream));
  served_response Refusal = makeResponseHead(*Stream);
  Refusal.Body = readBody(*Stream);
  if (saysNotRun(Refusal.Body))
    return std::nullopt;
  return Refusal;
}

} // namespace azurehaven
