#pragma once

#include "LibLog/event_log.h"
#include "LibTypes/ids.h"
#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

/// The start-up settings of an entry process.
struct entry_settings {
  vm_id Vm;
  failure_domain_id Domain;
  network_address Listen;
  network_address OperatorListen;
  network_address PeerListen;
  network_address Store;
  network_address VmList;
  std::optional<network_address> RatingService;
  /// Requests served at a time, streamed or not.
  std::size_t MaximumStreams = 1000;
  std::size_t BodyLimitBytes = 1 << 20;
  /// How long callers may cache a discovery response.
  milliseconds DiscoveryTimeToLive{5000};
  milliseconds StoreTimeout{1000};
  double RatingsPerSecond = 50;
  log_level LogLevel = log_level::Info;
};

/// Text for `azurehaven entry --help`.
extern const char *const EntryUsage;

using setting_lookup =
    std::function<std::optional<std::string>(const std::string &)>;

/// Reads each setting from its flag, else its environment variable, else its
/// default. Appends one line to Errors for each that is missing or malformed.
entry_settings readEntrySettings(const setting_lookup &Flag,
                                 const setting_lookup &Environment,
                                 std::vector<std::string> &Errors);

} // namespace azurehaven
