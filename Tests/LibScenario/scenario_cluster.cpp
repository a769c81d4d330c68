#include "LibScenario/scenario_cluster.h"

#include <fstream>
#include <thread>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr http_timeouts ControlTimeouts{milliseconds(1000),
                                        milliseconds(20000)};
constexpr milliseconds StartTimeout{20000};
constexpr std::uint16_t CallerPort = 8080;
constexpr std::uint16_t OperatorPort = 8081;
constexpr std::uint16_t PeerPort = 8082;
constexpr std::uint16_t EndpointPort = 9100;
constexpr std::uint16_t ControlPort = 9101;
constexpr std::uint16_t LinkPort = 7000;

} // namespace

scenario_cluster::scenario_cluster(scenario_programs Programs, int Net,
                                   std::string LogFolder)
    : Programs(std::move(Programs)), Net(Net), LogFolder(LogFolder),
      Processes(LogFolder) {
  Entries = {{"entry-1", {11, "a", ""}},
             {"entry-2", {12, "b", ""}},
             {"entry-3", {13, "c", ""}},
             {"entry-4", {14, "d", ""}},
             {"entry-5", {15, "a", ""}}};
  Engines = {{"engine-1", {21, "a", "scree@1,scree@2"}},
             {"engine-2", {22, "b", "scree@1,scree@2"}},
             {"engine-3", {23, "c", "ridge@1,ridge@2"}},
             {"engine-4", {24, "d", "ridge@1,ridge@2"}},
             {"engine-5", {25, "a", "summit@1"}},
             {"engine-6", {26, "b", "summit@1"}}};
  Services = {{"booking-1", {31, "a", ""}}, {"booking-2", {32, "b", ""}}};
}

network_address scenario_cluster::loopbackAddress(int Number,
                                                  std::uint16_t Port) const {
  return {"127.1." + std::to_string(Net) + "." + std::to_string(Number), Port};
}

network_address
scenario_cluster::callerAddress(const std::string &Entry) const {
  return loopbackAddress(Entries.at(Entry).Number, CallerPort);
}

network_address
scenario_cluster::operatorAddress(const std::string &Entry) const {
  return loopbackAddress(Entries.at(Entry).Number, OperatorPort);
}

bool scenario_cluster::isEntry(const std::string &Name) const {
  return Entries.contains(Name);
}

namespace {

template <typename Nodes> std::vector<std::string> namesOf(const Nodes &All) {
  std::vector<std::string> Names;
  for (const auto &Entry : All)
    Names.push_back(Entry.first);
  return Names;
}

} // namespace

std::vector<std::string> scenario_cluster::entryNames() const {
  return namesOf(Entries);
}

std::vector<std::string> scenario_cluster::serviceNames() const {
  return namesOf(Services);
}

std::vector<std::string> scenario_cluster::engineNames() const {
  return namesOf(Engines);
}

network_address
scenario_cluster::controlAddress(const std::string &Name) const {
  if (Name == "store")
    return loopbackAddress(2, 9000);
  if (Name == "rating")
    return loopbackAddress(4, 9002);
  auto Engine = Engines.find(Name);
  if (Engine != Engines.end())
    return loopbackAddress(Engine->second.Number, ControlPort);
  auto Service = Services.find(Name);
  if (Service != Services.end())
    return loopbackAddress(Service->second.Number, ControlPort);
  return {};
}

status scenario_cluster::post(const network_address &Address,
                              const std::string &Path, const json &Body,
                              const std::string &Method) {
  auto Sent = Transport.send(
      Address,
      {Method, Path, {{"Content-Type", "application/json"}}, Body.dump()},
      ControlTimeouts, connection_use::Fresh);
  auto *Response = std::get_if<http_response>(&Sent);
  if (!Response || Response->Status != 200)
    return error{error_code::Unavailable,
                 "no successful response from " + Address.text()};
  return success{};
}

status scenario_cluster::setSwitch(const std::string &Name,
                                   const std::string &Switch,
                                   const json &Value) {
  const network_address Address = controlAddress(Name);
  if (Address.Port == 0)
    return error{error_code::NotFound, "no stand-in " + Name};
  return post(Address, "/control", {{Switch, Value}});
}

/// Each ordered pair has its own link address.
network_address scenario_cluster::linkAddress(const std::string &From,
                                              const std::string &To) const {
  const int FromIndex = Entries.at(From).Number - 10;
  const int ToIndex = To == "store" ? 0 : Entries.at(To).Number - 10;
  return loopbackAddress(100 + FromIndex * 10 + ToIndex, LinkPort);
}

status scenario_cluster::makeLink(const std::string &From,
                                  const std::string &To,
                                  const network_address &Target) {
  return post(loopbackAddress(6, ControlPort), "/links",
              {{"name", From + ">" + To},
               {"listen", linkAddress(From, To).text()},
               {"target", Target.text()}});
}

status scenario_cluster::setLink(const std::string &From, const std::string &To,
                                 bool IsCut) {
  const char *Path = IsCut ? "/cut" : "/heal";
  TRY_STATUS(
      post(loopbackAddress(6, ControlPort), Path, {{"name", From + ">" + To}}));
  return post(loopbackAddress(6, ControlPort), Path,
              {{"name", To + ">" + From}});
}

json scenario_cluster::vmList() const {
  json Lines = json::array();
  const auto Add = [&](const std::string &Name, json Line) {
    auto State = ListedStates.find(Name);
    if (State != ListedStates.end()) {
      if (State->second == "gone")
        return;
      Line["state"] = State->second;
    }
    Line["vm"] = Name;
    Lines.push_back(std::move(Line));
  };
  for (const auto &[Name, Node] : Entries) {
    json Views = json::object();
    for (const auto &[Viewer, Other] : Entries)
      if (Viewer != Name)
        Views[Viewer] = {{"peer", linkAddress(Viewer, Name).text()}};
    Add(Name, {{"kind", "entry"},
               {"domain", Node.Domain},
               {"address", loopbackAddress(Node.Number, CallerPort).text()},
               {"peer", loopbackAddress(Node.Number, PeerPort).text()},
               {"views", Views}});
  }
  for (const auto &[Name, Node] : Engines)
    Add(Name, {{"kind", "engine"},
               {"domain", Node.Domain},
               {"address", loopbackAddress(Node.Number, EndpointPort).text()}});
  for (const auto &[Name, Node] : Services)
    Add(Name, {{"kind", "service"},
               {"domain", Node.Domain},
               {"service", "booking"},
               {"address", loopbackAddress(Node.Number, EndpointPort).text()}});
  return Lines;
}

status scenario_cluster::setListed(const std::string &Name,
                                   const std::string &State) {
  ListedStates[Name] = State;
  return post(loopbackAddress(3, 9001), "/v1/vms", vmList(), "PUT");
}

status scenario_cluster::awaitListening(const network_address &Address) {
  const auto GiveUpAt = std::chrono::steady_clock::now() + StartTimeout;
  while (std::chrono::steady_clock::now() < GiveUpAt) {
    auto Sent = Transport.send(Address, {"GET", "/healthz", {}, {}},
                               ControlTimeouts, connection_use::Fresh);
    if (std::holds_alternative<http_response>(Sent))
      return success{};
    std::this_thread::sleep_for(milliseconds(20));
  }
  return error{error_code::Unavailable, Address.text() + " does not listen"};
}

status scenario_cluster::startPlatform() {
  const std::string ListFile = LogFolder + "/vms.json";
  std::ofstream(ListFile) << vmList().dump();
  const auto Listen = [](const network_address &Address) {
    return "--listen=" + Address.text();
  };
  const auto Control = [](const network_address &Address) {
    return "--control=" + Address.text();
  };
  const std::string &Program = Programs.StandIn;
  TRY_STATUS(Processes.start(
      "store", {Program, "store", Listen(loopbackAddress(2, 9000))}));
  TRY_STATUS(
      Processes.start("vms", {Program, "vms", Listen(loopbackAddress(3, 9001)),
                              "--file=" + ListFile}));
  TRY_STATUS(Processes.start(
      "rating", {Program, "rating", Listen(loopbackAddress(4, 9002))}));
  TRY_STATUS(Processes.start(
      "links", {Program, "links", Control(loopbackAddress(6, ControlPort))}));
  for (const auto &[Name, Node] : Engines)
    TRY_STATUS(Processes.start(
        Name,
        {Program, "engine", Listen(loopbackAddress(Node.Number, EndpointPort)),
         Control(loopbackAddress(Node.Number, ControlPort)), "--name=" + Name,
         "--versions=" + Node.Versions, "--token-ms=4", "--first-token-ms=10",
         "--tokens=20"}));
  for (const auto &[Name, Node] : Services)
    TRY_STATUS(Processes.start(
        Name,
        {Program, "service", Listen(loopbackAddress(Node.Number, EndpointPort)),
         Control(loopbackAddress(Node.Number, ControlPort)),
         "--name=" + Name}));
  for (const auto &Address :
       {loopbackAddress(2, 9000), loopbackAddress(3, 9001),
        loopbackAddress(4, 9002), loopbackAddress(6, ControlPort)})
    TRY_STATUS(awaitListening(Address));
  for (const auto &[Name, Node] : Engines)
    TRY_STATUS(awaitListening(loopbackAddress(Node.Number, EndpointPort)));
  for (const auto &[Name, Node] : Entries) {
    TRY_STATUS(makeLink(Name, "store", loopbackAddress(2, 9000)));
    for (const auto &[Other, Target] : Entries)
      if (Other != Name)
        TRY_STATUS(
            makeLink(Name, Other, loopbackAddress(Target.Number, PeerPort)));
  }
  return success{};
}

status scenario_cluster::startEntry(const std::string &Name) {
  const node &Node = Entries.at(Name);
  TRY_STATUS(Processes.start(
      Name,
      {Programs.Product, "entry", "--vm=" + Name, "--domain=" + Node.Domain,
       "--listen=" + loopbackAddress(Node.Number, CallerPort).text(),
       "--operator-listen=" + loopbackAddress(Node.Number, OperatorPort).text(),
       "--peer-listen=" + loopbackAddress(Node.Number, PeerPort).text(),
       "--store=" + linkAddress(Name, "store").text(),
       "--vm-list=" + loopbackAddress(3, 9001).text(),
       "--rating-service=" + loopbackAddress(4, 9002).text(),
       "--discovery-keep-ms=1000", "--store-timeout-ms=500"}));
  return awaitListening(operatorAddress(Name));
}

result<json> scenario_cluster::stats(const std::string &Name) {
  const network_address Address = controlAddress(Name);
  auto Sent = Transport.send(Address, {"GET", "/stats", {}, {}},
                             ControlTimeouts, connection_use::Fresh);
  auto *Response = std::get_if<http_response>(&Sent);
  if (!Response)
    return error{error_code::Unavailable, "no statistics from " + Name};
  return json::parse(Response->Body, nullptr, false);
}

result<json> scenario_cluster::getFromOperator(const std::string &Entry,
                                               const std::string &Path) {
  auto Sent = Transport.send(operatorAddress(Entry), {"GET", Path, {}, {}},
                             ControlTimeouts, connection_use::Fresh);
  auto *Response = std::get_if<http_response>(&Sent);
  if (!Response)
    return error{error_code::Unavailable, "no response from " + Entry};
  json Document = json::parse(Response->Body, nullptr, false);
  // /readyz responds with an error status, and a document, while the entry VM
  // is not ready.
  if (Response->Status >= 400 && Path != "/readyz")
    return error{error_code::Unavailable, Entry + " responded with status " +
                                              std::to_string(Response->Status)};
  return Document;
}

result<std::uint64_t>
scenario_cluster::servedCount(const std::string &Version) {
  std::uint64_t Total = 0;
  for (const auto &Engine : engineNames()) {
    TRY(json Stats, stats(Engine));
    Total += Version == "any"
                 ? Stats.value("requests", std::uint64_t(0))
                 : Stats["by_version"].value(Version, std::uint64_t(0));
  }
  return Total;
}

result<std::uint64_t> scenario_cluster::runCount(const std::string &Request) {
  std::uint64_t Total = 0;
  for (const auto &Service : serviceNames()) {
    TRY(json Stats, stats(Service));
    Total += Stats["runs"].value("pindos/" + Request, std::uint64_t(0));
  }
  return Total;
}

result<json> scenario_cluster::getFromAnyOperator(const std::string &Path) {
  result<json> Response =
      error{error_code::Unavailable, "no entry VM responds"};
  for (const auto &Name : entryNames()) {
    Response = getFromOperator(Name, Path);
    if (!isError(Response))
      return Response;
  }
  return Response;
}

result<std::map<std::string, std::size_t>> scenario_cluster::billCounts() {
  TRY(json Bills, getFromAnyOperator("/v1/bills"));
  std::map<std::string, std::size_t> Counts;
  for (const auto &Bill : Bills)
    ++Counts[Bill.value("request", std::string())];
  return Counts;
}

} // namespace azurehaven
