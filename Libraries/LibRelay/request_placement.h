#pragma once

#include "LibRelay/admitted_request.h"
#include "LibRelay/fleet_state.h"

#include <memory>
#include <optional>
#include <set>

namespace azurehaven {

/// The endpoint of an attempt, and what decided its release.
struct request_placement {
  /// Null if no endpoint accepts new requests.
  std::shared_ptr<endpoint_record> Endpoint;
  release_rule Rule;
  /// The pin of the request's session, if it has one.
  std::optional<session_pin> Pin;
  release_samples Samples;
  release_decision Decision;
};

/// Selects the endpoint of the next attempt by the placement rules of
/// LibDispatch: by roll-out, load and cached prompts. ModelIndex is the index
/// of the model in the route; nullopt if the caller selected the model.
request_placement placeRequest(const fleet_state &Fleet,
                               const admitted_request &Admitted,
                               const std::set<endpoint_id> &Tried,
                               std::optional<std::size_t> ModelIndex,
                               steady_time Now);

/// Work that the request's prompt causes on the endpoint, in tokens of the
/// smallest model; 0 if the caller chose the model.
double promptWorkOn(const fleet_state &Fleet, const admitted_request &Admitted,
                    std::optional<std::size_t> ModelIndex,
                    const endpoint_record &Endpoint, steady_time Now);

/// Estimated time to process the prompts queued on an engine of the service,
/// as a mean over its engines.
milliseconds estimatedBacklog(const fleet_state &Fleet,
                              const service_id &Service, steady_time Now);

/// Whether the endpoint probably has the shared prefix of the request's prompt.
/// Yes if that is not known, as for a model that the caller has selected.
bool isPromptCached(const admitted_request &Admitted,
                    std::optional<std::size_t> ModelIndex,
                    const endpoint_record &Endpoint, steady_time Now);

/// Records that the request was sent to the endpoint: pins its session to the
/// release and marks the shared prompt prefix as cached there.
void recordSend(fleet_state &Fleet, const admitted_request &Admitted,
                std::optional<std::size_t> ModelIndex,
                endpoint_record &Endpoint, steady_time Now);

/// Pins the request's session, if it has one, to the endpoint's release from
/// now on.
void pinSession(fleet_state &Fleet, const admitted_request &Admitted,
                const endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
