#pragma once

#include "LibEntry/entry_services.h"
#include "LibServer/http_server.h"

namespace azurehaven {

/// Forwards requests of callers to other entry VMs while this one reaches no
/// endpoint. The VM that serves a request checks, admits and bills it like one
/// of its own callers. Blocks; thread-safe.
class peer_forwarder {
public:
  explicit peer_forwarder(const entry_services &Services)
      : Services(Services) {}

  /// Whether another VM has forwarded the request, so that it is not forwarded
  /// again.
  static bool isForwarded(const served_request &Request);
  /// Returns the response of another VM, or nullopt if none has taken the
  /// request. Id: the request's, which the caller need not have sent.
  std::optional<served_response> forward(const served_request &Request,
                                         const std::string &Id);

private:
  std::optional<served_response> forwardTo(const entry_address &Peer,
                                           const served_request &Request,
                                           const std::string &Id);

  const entry_services &Services;
};

} // namespace azurehaven
