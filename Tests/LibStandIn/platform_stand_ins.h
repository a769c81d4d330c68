#pragma once

#include "LibServer/http_server.h"
#include "LibTypes/units.h"

#include <mutex>
#include <nlohmann/json.hpp>

namespace azurehaven {

/// The platform's VM list. PUT /v1/vms replaces it; an entry may hold "views",
/// which override its addresses for individual viewers.
class vm_list_stand_in {
public:
  explicit vm_list_stand_in(nlohmann::json Lines) : Lines(std::move(Lines)) {}
  served_response serve(const served_request &Request);

private:
  std::mutex Mutex;
  nlohmann::json Lines;
};

/// The weight store. Limits the rate of fetches with a token bucket of size 1.
class weight_store_stand_in {
public:
  explicit weight_store_stand_in(double PerSecond) : PerSecond(PerSecond) {}
  served_response serve(const served_request &Request, steady_time Now);

private:
  /// Fetches permitted per second.
  const double PerSecond;
  std::mutex Mutex;
  double Tokens = 1;
  steady_time LastRefillAt{};
};

} // namespace azurehaven
