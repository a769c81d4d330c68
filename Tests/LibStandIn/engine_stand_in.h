#pragma once

#include "LibHttp/http_transport.h"
#include "LibServer/http_server.h"
#include "LibStandIn/fault_switches.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <set>

namespace azurehaven {

struct engine_stand_in_settings {
  std::string Name;
  std::set<std::string> Versions;
  unsigned Slots = 8;
  /// Time per token.
  milliseconds TokenTime{5};
  milliseconds FirstTokenTime{20};
  std::size_t Tokens = 24;
  /// The weights of every version in an order are fetched from here.
  std::optional<network_address> WeightStore;
  /// Whether an order with an outdated fencing token is refused.
  bool HonoursFencing = true;
};

/// A model engine with a fixed number of slots that streams responses token by
/// token. Switches: "leaving", "busy", "crash_on" (a request that contains this
/// text crashes the engine), "down_ms" (downtime after a crash), "cut_after"
/// (tokens until the response is truncated), "late_ms" (added to the first
/// token), "crossed" (events carry another request's id), "twice" (the end is
/// sent twice, with a further chunk in between), "slow_factor",
/// "first_token_ms", "requests_per_second" (the limit that it names for all VMs
/// together).
class engine_stand_in {
public:
  engine_stand_in(engine_stand_in_settings Settings, http_transport &Transport);

  served_response serve(const served_request &Request);
  served_response control(const served_request &Request);

  /// Called on a crash; must close the listener for this long.
  std::function<void(milliseconds)> OnCrash;

  struct shared_state;

private:
  served_response chat(const served_request &Request);
  served_response status() const;
  served_response order(const served_request &Request);
  void crash();

  const engine_stand_in_settings Settings;
  http_transport &Transport;
  std::shared_ptr<shared_state> State;
};

} // namespace azurehaven
