#pragma once

#include "LibConfig/configuration.h"
#include "LibMembership/vm_list.h"

#include <string>
#include <vector>

namespace azurehaven::bench {

/// Actual quality of a version in a class. Of the policies, only the oracle
/// reads it.
struct true_quality {
  /// Probability of a good response to an easy and to a hard request.
  double EasyQuality = 0.98;
  double HardQuality = 0.5;

  double mean(double EasyShare) const {
    return EasyShare * EasyQuality + (1 - EasyShare) * HardQuality;
  }
};

struct class_load {
  class_id Class;
  double RequestsPerSecond = 1;
  double PromptTokens = 200;
  double CompletionTokens = 100;
  double EasyShare = 0.6;
};

struct engine_parameters {
  endpoint_id Id;
  version_id Version;
  /// Further versions that the engine has loaded, for rollouts.
  std::vector<version_id> RollOutVersions;
  unsigned Slots = 8;
  double FirstTokenMs = 100;
  double TokenMs = 10;
};

struct account_load {
  client_account_id Account;
  double RequestShare = 1;
};

/// Configuration, request rates, engines and true qualities of a policy bench
/// run, modelled on the users' own sizes and qualities.
struct workload {
  std::string Name;
  configuration Configuration;
  std::vector<class_load> Classes;
  std::vector<account_load> Accounts;
  std::vector<engine_parameters> Engines;
  std::map<std::pair<version_id, class_id>, true_quality> TrueQualities;
};

workload kairnsWorkload();
workload cwtchWorkload();

} // namespace azurehaven::bench
