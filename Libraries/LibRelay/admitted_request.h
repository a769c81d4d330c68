#pragma once

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/route_table.h"

#include <memory>

namespace azurehaven {

/// What is fixed about a request once it has been let in.
struct admitted_request {
  dispatch_request Request;
  /// The configuration in force at its arrival; keeps the route alive.
  std::shared_ptr<const route_table> Routes;
  const route *Route = nullptr;
  caller_account Account;
  /// Shared by the resends of the request.
  std::uint64_t Fingerprint = 0;
  /// Shared by the requests of its session.
  std::uint64_t Session = 0;
  /// The service that the route's shares give it to.
  service_id Service;

  const endpoint_pool *pool() const { return Routes->pool(Service); }
  bool isForEngines() const { return pool() && pool()->Engine; }
};

admitted_request makeAdmittedRequest(dispatch_request Request,
                                     std::shared_ptr<const route_table> Routes,
                                     const route &Route,
                                     const caller_account &Account,
                                     std::uint64_t Fingerprint);

} // namespace azurehaven
