#pragma once

#include "LibHttp/pooled_http_transport.h"
#include "LibScenario/process_group.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

struct scenario_programs {
  std::string Product;
  std::string StandIn;
};

/// The processes and addresses of one scenario: the stand-ins of the platform,
/// six engines, two services, five entry VMs in four failure domains, and links
/// between them that can be cut.
class scenario_cluster {
public:
  /// Net is the third octet of the loopback addresses, 1 to 250.
  scenario_cluster(scenario_programs Programs, int Net, std::string LogFolder);

  /// Starts all stand-ins, engines and services included, and creates the
  /// links.
  status startPlatform();
  status startEntry(const std::string &Name);
  bool isEntry(const std::string &Name) const;
  std::vector<std::string> entryNames() const;
  std::vector<std::string> serviceNames() const;
  std::vector<std::string> engineNames() const;
  process_group &processes() { return Processes; }

  network_address callerAddress(const std::string &Entry) const;
  network_address operatorAddress(const std::string &Entry) const;
  /// Sets a fault switch of a stand-in.
  status setSwitch(const std::string &Name, const std::string &Switch,
                   const nlohmann::json &Value);
  /// Cuts or heals the link between two nodes, in both directions.
  status setLink(const std::string &From, const std::string &To, bool IsCut);
  /// Sets the state of a VM in the VM list: live, leaving or gone.
  status setListed(const std::string &Name, const std::string &State);
  result<nlohmann::json> stats(const std::string &Name);
  result<nlohmann::json> getFromOperator(const std::string &Entry,
                                         const std::string &Path);
  /// The response of the first entry VM that responds successfully.
  result<nlohmann::json> getFromAnyOperator(const std::string &Path);
  /// Numbers of bills by request id.
  result<std::map<std::string, std::size_t>> billCounts();
  /// How often the booking services executed a request of the account pindos.
  result<std::uint64_t> runCount(const std::string &Request);
  /// Number of requests that the engines accepted for a version, or for all
  /// versions if it is "any".
  result<std::uint64_t> servedCount(const std::string &Version);
  http_transport &transport() { return Transport; }

private:
  struct node {
    /// Last octet of the loopback addresses.
    int Number;
    std::string Domain;
    /// The model versions of an engine, separated by commas.
    std::string Versions;
  };

  network_address loopbackAddress(int Number, std::uint16_t Port) const;
  network_address linkAddress(const std::string &From,
                              const std::string &To) const;
  network_address controlAddress(const std::string &Name) const;
  status post(const network_address &Address, const std::string &Path,
              const nlohmann::json &Body, const std::string &Method = "POST");
  status makeLink(const std::string &From, const std::string &To,
                  const network_address &Target);
  nlohmann::json vmList() const;
  status awaitListening(const network_address &Address);

  const scenario_programs Programs;
  const int Net;
  const std::string LogFolder;
  pooled_http_transport Transport;
  std::map<std::string, node> Entries;
  std::map<std::string, node> Engines;
  std::map<std::string, node> Services;
  std::map<std::string, std::string> ListedStates;
  process_group Processes;
};

} // namespace azurehaven
