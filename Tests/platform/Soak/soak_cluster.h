#pragma once

#include "LibHttp/pooled_http_transport.h"
#include "LibScenario/process_group.h"
#include "Soak/endpoint_double.h"
#include "Soak/fault_log.h"
#include "Soak/fault_proxy.h"
#include "Soak/idle_limit_history.h"
#include "Soak/store_double.h"

#include <asio/executor_work_guard.hpp>

#include <set>
#include <thread>

namespace azurehaven::platform {

constexpr std::size_t EntryCount = 3;
constexpr std::size_t EndpointCount = 6;
/// Values written to the settings files of the entry processes.
constexpr milliseconds StopGrace{6000};
constexpr milliseconds RevokeBound{5000};
constexpr milliseconds DrainBound{3000};
/// From the store's acknowledgement until every entry process applies a
/// configuration (`config_ms`).
constexpr milliseconds ConfigurationBound{2000};
/// The shortest `timeout_ms` that a route may have.
constexpr milliseconds ShortestStreamTimeout{5000};
constexpr milliseconds ShortestPlainTimeout{2500};
constexpr double RetryRatio = 0.9;
constexpr milliseconds RetryWindow{10000};
constexpr double RetrySlack = 50;
constexpr const char *PlainService = "plain";
constexpr const char *EngineService = "engines";
constexpr const char *SteadyAccount = "account-a";
/// The account whose API key is revoked and restored as a fault.
constexpr const char *RevokedAccount = "account-b";

/// How long callers leave a connection idle at most: four fifths of its limit.
constexpr milliseconds idleShare(milliseconds Limit) { return Limit * 4 / 5; }

/// The part of the operator's configuration that changes without a fault.
struct soak_configuration {
  milliseconds IdleTimeout{15000};
  bool HasShortTimeouts = false;
  /// Number of further routes, which no caller uses.
  int FurtherRoutes = 0;
};

struct soak_settings {
  std::string Product;
  /// Runs on every VM until its first restart; empty for the product itself.
  std::string PreviousProduct;
  std::string Folder;
  /// Third octet of the loopback addresses.
  int Net = 1;
};

/// The entry processes, test doubles and proxied links of one soak run.
class soak_cluster {
  const soak_settings Settings;
  const steady_time StartedAt = std::chrono::steady_clock::now();
  /// Declared first, so that it outlives the proxies that run on it.
  asio::io_context Loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work;

public:
  static result<std::unique_ptr<soak_cluster>> create(soak_settings Settings);
  ~soak_cluster();

  status startEntry(std::size_t Index);
  std::string entryName(std::size_t Index) const;
  network_address callerAddress(std::size_t Index) const {
    return entryAddress(Index, 8000);
  }
  network_address directoryAddress(std::size_t Index) const {
    return entryAddress(Index, 8002);
  }

  /// Writes the registration of an endpoint to the store; returns its id.
  std::string registerEndpoint(std::size_t Index, const char *State);
  void unregisterEndpoint(std::size_t Index);
  void restartEndpoint(std::size_t Index);
  void setServiceFailing(const std::string &Service, bool IsFailing);
  void setRefused(const std::string &Service, std::size_t Percent);
  /// Starts an engine again as the target of a roll-out and orders it.
  void orderRollout(milliseconds TimeLimit);
  /// The state that the roll-out's status names; empty without one.
  std::string rolloutState();
  /// Write the next configuration version: with or without the API key of
  /// RevokedAccount, or with other limits and routes. Thread-safe.
  void writeConfiguration(bool HasRevocableKey);
  void writeConfiguration(const soak_configuration &Configuration);

  /// Thread-safe, as the three functions after it.
  status signalEntry(std::size_t Index, int Signal);
  result<int> awaitEntryExit(std::size_t Index, milliseconds Limit);
  /// Stops these entry processes for a step, then continues those that were not
  /// stopped before. One that doesn't run is left out.
  void stallEntries(const std::set<std::size_t> &Indexes, milliseconds Step);
  /// Sends SIGHUP to an entry process that has started.
  void reloadEntry(std::size_t Index);
  /// An endpoint that stands still neither reads nor writes, and its
  /// connections stay open.
  void setStandingStill(std::size_t Endpoint, bool StandsStill);

  /// Prints a line with the time since the start. Thread-safe.
  void print(const std::string &Text) const;

  idle_limit_history IdleLimits;
  store_double Store;
  run_registry Runs;
  fault_log FaultLog;
  fault_log StandstillLog;
  std::vector<std::unique_ptr<endpoint_double>> Endpoints;
  std::vector<std::unique_ptr<fault_proxy>> StoreLinks;
  std::vector<std::unique_ptr<fault_proxy>> EndpointLinks;

private:
  explicit soak_cluster(soak_settings Settings);
  status open();
  network_address loopbackAddress(int Host, std::uint16_t Port) const;
  network_address entryAddress(std::size_t Index, std::uint16_t Port) const;
  status writeSettings(std::size_t Index) const;
  void writeCurrentConfiguration();

  std::thread Thread;
  std::vector<std::unique_ptr<http_server>> Servers;
  std::vector<int> EndpointStartCounts;
  std::vector<std::string> EndpointReleases;
  std::set<std::size_t> StartedEntries;
  std::mutex ProcessMutex;
  process_group Processes;
  std::set<std::size_t> PausedEntries;
  /// Entry processes that handle signals.
  std::set<std::size_t> ReadyEntries;
  std::mutex ConfigurationMutex;
  int ConfigurationVersion = 0;
  bool HasRevocableKey = true;
  soak_configuration Configuration;
};

} // namespace azurehaven::platform
