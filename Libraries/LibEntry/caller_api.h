#pragma once

#include "LibEntry/entry_services.h"
#include "LibEntry/peer_forwarder.h"
#include "LibEntry/service_relay.h"

#include <atomic>

namespace azurehaven {

/// The HTTP API for callers. Thread-safe.
class caller_api {
public:
  explicit caller_api(const entry_services &Services);

  served_response serve(const served_request &Request);
  std::size_t requestsInFlight() const { return *InFlight; }

private:
  served_response handleRequest(const served_request &Request);
  served_response serveDiscovery();
  served_response serveChat(const served_request &Request,
                            caller_identity Identity,
                            std::shared_ptr<const configuration> Current);
  std::string issueRequestId();

  /// The response of another VM if this one reaches no endpoint; nullopt if it
  /// does, or if no other VM takes the request.
  std::optional<served_response> serveByPeer(const served_request &Request,
                                             const request_id &Id);

  const entry_services &Services;
  service_relay Relay;
  peer_forwarder Forwarder;
  std::atomic<std::uint64_t> NextRequest = 1;
  std::atomic<std::uint64_t> NextDiscovery = 0;
  /// Shared with the responses that are still being streamed.
  std::shared_ptr<std::atomic<std::size_t>> InFlight;
};

} // namespace azurehaven
