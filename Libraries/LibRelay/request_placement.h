#pragma once

#include "LibRelay/admitted_request.h"
#include "LibRelay/fleet_state.h"

#include <memory>
#include <optional>
#include <set>

namespace azurehaven {

/// Applies the decisions of LibDispatch to one request and this VM's beliefs.

/// The endpoint for the next attempt, by roll-out, load and cached prompts;
/// null if none takes new work. ModelIndex is the model's place in the route.
std::shared_ptr<endpoint_record>
placeRequest(const fleet_state &Fleet, const admitted_request &Subject,
             const std::set<endpoint_id> &Tried,
             std::optional<std::size_t> ModelIndex, steady_time Now);

/// What the request's prompt costs the endpoint, in tokens of the smallest
/// model; 0 where the caller chose the model.
double promptWorkOn(const fleet_state &Fleet, const admitted_request &Subject,
                    std::optional<std::size_t> ModelIndex,
                    const endpoint_record &Endpoint, steady_time Now);

/// The time that the prompts waiting on an engine of the service take.
milliseconds estimatedBacklog(const fleet_state &Fleet,
                              const service_id &Service, steady_time Now);

/// The request was sent to the endpoint: its session stays with the release,
/// its prompt is cached there.
void recordSend(fleet_state &Fleet, const admitted_request &Subject,
                std::optional<std::size_t> ModelIndex,
                endpoint_record &Endpoint, steady_time Now);

/// The session's latest request ended on the endpoint's release now.
void refreshSessionPin(fleet_state &Fleet, const admitted_request &Subject,
                       const endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
