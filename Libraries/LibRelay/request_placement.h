#pragma once

#include "LibRelay/fleet_state.h"
#include "LibRelay/request_subject.h"

#include <memory>
#include <optional>
#include <set>

namespace azurehaven {

/// Applies the decisions of LibDispatch to one request and this VM's beliefs.

/// The endpoint for the next attempt, by roll-out, load and cached prompts;
/// null if none takes new work. ModelIndex is the model's place in the route.
std::shared_ptr<endpoint_record>
placeRequest(const fleet_state &Fleet, const request_subject &Subject,
             const std::set<endpoint_id> &Tried,
             std::optional<std::size_t> ModelIndex, steady_time Now);

/// What the request's prompt costs the endpoint, in tokens of the smallest
/// model; 0 where the caller chose the model.
double promptWorkOn(const fleet_state &Fleet, const request_subject &Subject,
                    std::optional<std::size_t> ModelIndex,
                    const endpoint_record &Endpoint, steady_time Now);

/// The time that the prompts waiting on an engine of the service take.
milliseconds backlogOf(const fleet_state &Fleet, const service_id &Service,
                       steady_time Now);

/// The request was sent to the endpoint: its session stays with the release,
/// its prompt is cached there.
void noteSent(fleet_state &Fleet, const request_subject &Subject,
              std::optional<std::size_t> ModelIndex, endpoint_record &Endpoint,
              steady_time Now);

/// The session's latest request ended on the endpoint's release now.
void noteSession(fleet_state &Fleet, const request_subject &Subject,
                 const endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
