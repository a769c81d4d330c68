#pragma once

#include "LibHttp/pooled_http_transport.h"
#include "LibScenario/process_group.h"
#include "Soak/endpoint_double.h"
#include "Soak/fault_log.h"
#include "Soak/fault_proxy.h"
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
constexpr double RetryRatio = 0.9;
constexpr milliseconds RetryWindow{10000};
constexpr double RetrySlack = 50;
constexpr const char *PlainService = "plain";
constexpr const char *EngineService = "engines";
constexpr const char *SteadyAccount = "account-a";
/// The account whose API key is revoked and restored as a fault.
constexpr const char *RevokedAccount = "account-b";

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
  /// Starts an engine again as the target of a roll-out and orders it.
  void orderRollout(milliseconds TimeLimit);
  /// The state that the roll-out's status names; empty without one.
  std::string rolloutState();
  /// Writes the next configuration version, with or without the API key of
  /// RevokedAccount.
  void writeConfiguration(bool HasRevocableKey);

  process_group Processes;
  store_double Store;
  run_registry Runs;
  fault_log FaultLog;
  std::vector<std::unique_ptr<endpoint_double>> Endpoints;
  std::vector<std::unique_ptr<fault_proxy>> StoreLinks;
  std::vector<std::unique_ptr<fault_proxy>> EndpointLinks;

private:
  explicit soak_cluster(soak_settings Settings);
  status open();
  network_address loopbackAddress(int Host, std::uint16_t Port) const;
  network_address entryAddress(std::size_t Index, std::uint16_t Port) const;
  status writeSettings(std::size_t Index) const;

  std::thread Thread;
  std::vector<std::unique_ptr<http_server>> Servers;
  std::vector<int> EndpointStartCounts;
  std::vector<std::string> EndpointReleases;
  std::set<std::size_t> StartedEntries;
  int ConfigurationVersion = 0;
};

} // namespace azurehaven::platform
