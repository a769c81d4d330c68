#pragma once

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/endpoint_registry.h"

#include <memory>
#include <set>
#include <vector>

namespace azurehaven {

struct placement_parameters {
  failure_domain_id OwnDomain;
  /// Endpoints that this request was already sent to; they are not candidates.
  std::set<endpoint_id> Tried;
  model_id Model;
  /// Relative work of one prompt token on this model; 1 for the smallest one.
  double WorkPerToken = 1;
};

/// Selects the engine with the least estimated work ahead of the first event:
/// its pending work plus the prompt tokens that it has not cached. The engine
/// that rendezvous hashing assigns to the shared prefix, the same one on all
/// VMs, is assumed to have the prefix cached; others only if this VM recently
/// sent it there. Designed for bursts of requests with few distinct prefixes:
/// as the assigned engine fills up, other engines take over one by one. Returns
/// null if no candidate accepts new requests.
std::shared_ptr<endpoint_record>
selectEngine(const dispatch_request &Request, const endpoint_list &Candidates,
             const placement_parameters &Parameters, steady_time Now);

/// Selects the least loaded endpoint and prefers the VM's own failure domain
/// where loads are nearly equal. Returns null if no candidate accepts new
/// requests.
std::shared_ptr<endpoint_record>
selectLeastLoaded(const endpoint_list &Candidates,
                  const placement_parameters &Parameters, steady_time Now);

/// Cache key of the prefix that a prompt shares with other requests to the same
/// model; empty if there is none.
std::string sharedPrefixKey(const dispatch_request &Request,
                            const model_id &Model);
/// Number of tokens of the shared prefix.
std::uint32_t sharedPrefixTokens(const dispatch_request &Request);

/// Whether the endpoint probably still has this prompt prefix in its cache.
bool isProbablyCached(const endpoint_record &Endpoint,
                      const std::string &PrefixKey, steady_time Now);
/// Records that a prompt with this prefix was sent to the endpoint.
void recordSentPrefix(endpoint_record &Endpoint, const std::string &PrefixKey,
                      steady_time Now);

/// Prompt work of all VMs that is pending on an endpoint.
double pendingPromptWork(const endpoint_record &Endpoint);
/// Mean pending prompt work of the usable endpoints; 0 if there are none.
double meanPendingPromptWork(const endpoint_list &Endpoints, steady_time Now);

/// Estimated number of requests on an endpoint. The count of this VM's requests
/// is exact; those of other VMs come from their reports or from the endpoint's
/// latest load report.
double estimatedLoad(const endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
