#pragma once

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/endpoint_registry.h"

#include <memory>
#include <set>
#include <vector>

namespace azurehaven {

using endpoint_list = std::vector<std::shared_ptr<endpoint_record>>;

struct placement_parameters {
  failure_domain_id OwnDomain;
  /// Endpoints that have been tried for this request.
  std::set<endpoint_id> Tried;
  model_id Model;
  /// Work of one prompt token on this model; 1 for the smallest one.
  double WorkPerToken = 1;
};

/// Chooses the engine that will have done this prompt first: the work that is
/// under way there, and the tokens that it has not cached. One engine, the same
/// for all VMs, is taken to have the beginning of the prompt cached; others
/// only where this VM has sent it lately. Made for bursts on few subjects: as
/// the first engine fills up, others take over one by one.
/// Returns null when no candidate takes new work.
std::shared_ptr<endpoint_record>
selectEngine(const dispatch_request &Request, const endpoint_list &Candidates,
             const placement_parameters &Parameters, steady_time Now);

/// Chooses the least loaded endpoint, near ones first among equals.
std::shared_ptr<endpoint_record>
selectLeastLoaded(const endpoint_list &Candidates,
                  const placement_parameters &Parameters, steady_time Now);

/// The beginning that a prompt shares with others, by model.
std::string sharedPrefixKey(const dispatch_request &Request,
                            const model_id &Model);
/// Tokens of the shared beginning.
std::uint32_t sharedPrefixTokens(const dispatch_request &Request);

/// Whether the endpoint probably still holds this beginning of a prompt.
bool isProbablyCached(const endpoint_record &Endpoint,
                      const std::string &PrefixKey, steady_time Now);
/// A prompt with this beginning was sent to the endpoint.
void recordSentPrefix(endpoint_record &Endpoint, const std::string &PrefixKey,
                      steady_time Now);

/// Prompt work that waits on an endpoint, of all VMs.
double pendingPromptWork(const endpoint_record &Endpoint);
/// The mean of it over the endpoints that take work; 0 if none does.
double meanPendingPromptWork(const endpoint_list &Endpoints, steady_time Now);

/// Requests that an endpoint probably has: this VM's own are exact, those of
/// the other VMs come from their notices or its last report.
double estimatedLoad(const endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
