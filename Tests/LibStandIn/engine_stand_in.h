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
  /// Time of one token at an idle engine; batching slows it a little.
  milliseconds TokenTime{5};
  milliseconds FirstTokenTime{20};
  std::size_t Tokens = 24;
  /// Where weights are fetched from when an order changes the versions.
  std::optional<network_address> WeightStore;
  /// Whether an order with an old fencing number is refused.
  bool HonoursFencing = true;
};

/// A model engine with continuous batching. Switches: "leaving", "busy",
/// "crash_on" (a request with this text breaks the engine down), "down_ms",
/// "cut_after" (tokens), "late_ms", "crossed", "twice", "slow_factor",
/// "first_token_ms".
class engine_stand_in {
public:
  engine_stand_in(engine_stand_in_settings Settings, http_transport &Transport);

  served_response serve(const served_request &Request);
  served_response control(const served_request &Request);

  /// Called on a breakdown: closes the listener for this long.
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
