#pragma once

#include "LibDispatch/prompt_quarantine.h"
#include "LibDispatch/request_fingerprint.h"
#include "LibDispatch/route_table.h"
#include "LibRelay/request_evidence.h"

#include <memory>

namespace azurehaven {

/// The properties of an admitted request; they don't change between attempts.
struct admitted_request {
  dispatch_request Request;
  /// The configuration in force at its arrival; keeps the route alive.
  std::shared_ptr<const route_table> Routes;
  const route *Route = nullptr;
  caller_account Account;
  /// The same for all resends of the request.
  request_fingerprint Fingerprint;
  /// Hash of the session id, or of the request id if there is no session.
  std::uint64_t Session = 0;
  /// The prompt segments that other requests share.
  std::vector<segment_key> SharedSegments;
  /// The service selected by the weights of the route's shares.
  service_id Service;
  /// What its attempts tell of releases; null if each is counted by itself.
  std::shared_ptr<request_evidence> Evidence;

  const endpoint_pool *pool() const { return Routes->pool(Service); }
  bool isForEngines() const { return pool() && pool()->Engine; }
};

admitted_request makeAdmittedRequest(dispatch_request Request,
                                     std::shared_ptr<const route_table> Routes,
                                     const route &Route,
                                     const caller_account &Account,
                                     const request_fingerprint &Fingerprint);

} // namespace azurehaven
