#pragma once

#include "LibClient/caller_client.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace azurehaven {

/// Results of the statements executed so far, by the names given in them.
struct scenario_record {
  struct change_result {
    int Status = 0;
    nlohmann::json Body;
  };

  std::map<std::string, caller_response> Responses;
  std::map<std::string, change_result> Changes;
  /// Numbers of served requests by version and by engine, by mark name.
  std::map<std::string, std::map<std::string, std::uint64_t>> Marks;
  std::vector<caller_response> LoadResponses;
  std::vector<std::string> Bookings;
};

} // namespace azurehaven
