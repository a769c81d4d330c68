#pragma once

#include "LibConfig/configuration.h"
#include "LibMembership/vm_list.h"

#include <string>
#include <vector>

namespace azurehaven::bench {

/// The truth about one version in one class, which only the oracle knows.
struct version_truth {
  /// Probability of a good answer to an easy and to a hard request.
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

struct engine_truth {
  endpoint_id Id;
  version_id Version;
  /// Also loaded, for roll-outs.
  std::vector<version_id> MoreVersions;
  unsigned Slots = 8;
  double FirstTokenMs = 100;
  double TokenMs = 10;
};

struct account_load {
  client_account_id Account;
  double Part = 1;
};

/// Sizes and truths after the users' own, for the policy bench.
struct workload {
  std::string Name;
  configuration Configuration;
  std::vector<class_load> Classes;
  std::vector<account_load> Accounts;
  std::vector<engine_truth> Engines;
  std::map<std::pair<version_id, class_id>, version_truth> Truths;
};

workload kairnsWorkload();
workload cwtchWorkload();

} // namespace azurehaven::bench
