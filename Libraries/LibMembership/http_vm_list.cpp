#include "LibMembership/http_vm_list.h"

#include "LibHttp/percent_encoding.h"
#include "LibTypes/units.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr http_timeouts ListTimeouts{milliseconds(500), milliseconds(1000)};

result<listed_vm> parseLine(const json &Item) {
  listed_vm Line;
  Line.Vm = vm_id(Item.at("vm").get<std::string>());
  Line.Domain = failure_domain_id(Item.at("domain").get<std::string>());
  const auto Kind = Item.at("kind").get<std::string>();
  if (Kind == "entry")
    Line.Kind = vm_kind::Entry;
  else if (Kind == "engine")
    Line.Kind = vm_kind::Engine;
  else if (Kind == "service")
    Line.Kind = vm_kind::Service;
  else
    return error{error_code::InvalidInput, "VM list: kind \"" + Kind + "\""};
  Line.State = Item.value("state", std::string("live")) == "leaving"
                   ? listed_state::Leaving
                   : listed_state::Live;
  TRY(Line.Address, parseNetworkAddress(Item.at("address").get<std::string>()));
  if (Item.contains("peer")) {
    TRY(Line.PeerAddress,
        parseNetworkAddress(Item.at("peer").get<std::string>()));
  }
  Line.Service = service_id(Item.value("service", std::string()));
  return Line;
}

} // namespace

result<std::vector<listed_vm>> parseVmList(const std::string &Text) {
  try {
    json Document = json::parse(Text);
    std::vector<listed_vm> Lines;
    for (const auto &Item : Document) {
      TRY(listed_vm Line, parseLine(Item));
      Lines.push_back(std::move(Line));
    }
    return Lines;
  } catch (const json::exception &Exception) {
    return error{error_code::InvalidInput,
                 std::string("VM list: ") + Exception.what()};
  }
}

http_vm_list::http_vm_list(http_transport &Transport, network_address Address,
                           vm_id Viewer)
    : Transport(Transport), Address(std::move(Address)),
      Viewer(std::move(Viewer)) {}

result<std::vector<listed_vm>> http_vm_list::fetch() {
  http_request Request{
      "GET", "/v1/vms?viewer=" + percentEncode(Viewer.text()), {}, {}};
  auto Answer =
      Transport.send(Address, Request, ListTimeouts, connection_use::Pooled);
  if (auto *Failure = std::get_if<http_failure>(&Answer))
    return error{error_code::Unavailable, "VM list: " + Failure->Message};
  return parseVmList(std::get<http_response>(Answer).Body);
}

} // namespace azurehaven
