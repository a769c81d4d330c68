#pragma once

#include "LibClient/caller_client.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace azurehaven {

/// What a scenario has seen so far, by the names of its statements.
struct scenario_record {
  struct change_result {
    int Status = 0;
    nlohmann::json Body;
  };

  std::map<std::string, caller_answer> Responses;
  std::map<std::string, change_result> Changes;
  /// Counts of requests by version and by engine at a mark.
  std::map<std::string, std::map<std::string, std::uint64_t>> Marks;
  std::vector<caller_answer> LoadResponses;
  std::vector<std::string> Bookings;
};

} // namespace azurehaven
