#pragma once

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/endpoint_roster.h"

#include <memory>
#include <set>
#include <vector>

namespace azurehaven {

using endpoint_list = std::vector<std::shared_ptr<endpoint_record>>;

struct placement_terms {
  failure_domain_id OwnDomain;
  /// Endpoints that have been tried for this request.
  std::set<endpoint_id> Tried;
  /// VMs that place requests on the same endpoints.
  std::size_t VmCount = 1;
  model_id Model;
};

/// Chooses the engine for a request whose prompt is cached in parts. Keeps
/// requests with a common part on one engine, in an order that all VMs agree
/// on, unless that engine is loaded well above the others: a heavy load on a
/// few subjects then spreads over further engines one by one.
/// Returns null when no candidate takes new work.
std::shared_ptr<endpoint_record> placeOnEngine(const dispatch_request &Request,
                                               const endpoint_list &Candidates,
                                               const placement_terms &Terms,
                                               steady_time Now);

/// Chooses the least loaded endpoint, near ones first among equals.
std::shared_ptr<endpoint_record>
placeOnLeastLoaded(const endpoint_list &Candidates, const placement_terms &Terms,
                   steady_time Now);

/// Requests that an endpoint probably runs: this VM's own are exact, those of
/// the other VMs come from its last report.
double estimatedLoad(const endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
