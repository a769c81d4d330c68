#pragma once

#include "LibRelay/fleet_state.h"
#include "LibTypes/clock_source.h"

namespace azurehaven {

/// The fleet state of a VM that has not received any entry yet.
inline fleet_state
testFleet(const std::string &Vm = "vm-1",
          std::optional<milliseconds> RevokeBound = milliseconds(5000)) {
  return {vm_id(Vm),
          failure_domain_id("a"),
          nullptr,
          {},
          {},
          configuration_confirmation(RevokeBound),
          fleet_retry_budget({0.9, milliseconds(10000), 100}),
          session_pins(milliseconds(5000)),
          rollout_controller({0.15, 0})};
}

inline member_entry testMember(const std::string &Vm,
                               const std::string &Host = "127.0.0.1") {
  return {vm_id(Vm), failure_domain_id("a"), {Host, 80}, {Host, 81}, 1};
}

/// A clock that the test sets.
class test_clock : public clock_source {
public:
  steady_time now() const override { return Now; }
  unix_millis wallNow() const override { return Wall; }
  steady_time Now{std::chrono::hours(1)};
  unix_millis Wall{1000000};
};

} // namespace azurehaven
