#include "LibMembership/http_vm_list.h"

#include "LibHttp/percent_encoding.h"
#include "LibTypes/units.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr http_timeouts ListTimeouts{milliseconds(500), milliseconds(1000)};
constexpr int StatusOk = 200;

result<listed_vm> parseListedVm(const json &Item) {
  listed_vm ListedVm;
  ListedVm.Vm = vm_id(Item.at("vm").get<std::string>());
  ListedVm.Domain = failure_domain_id(Item.at("domain").get<std::string>());
  const auto Kind = Item.at("kind").get<std::string>();
  if (Kind == "entry")
    ListedVm.Kind = vm_kind::Entry;
  else if (Kind == "engine")
    ListedVm.Kind = vm_kind::Engine;
  else if (Kind == "service")
    ListedVm.Kind = vm_kind::Service;
  else
    return error{error_code::InvalidInput,
                 "VM list: unknown kind \"" + Kind + "\""};
  ListedVm.State = Item.value("state", std::string("live")) == "leaving"
                       ? listed_state::Leaving
                       : listed_state::Live;
  TRY(ListedVm.Address,
      parseNetworkAddress(Item.at("address").get<std::string>()));
  if (Item.contains("peer")) {
    TRY(ListedVm.PeerAddress,
        parseNetworkAddress(Item.at("peer").get<std::string>()));
  }
  ListedVm.Service = service_id(Item.value("service", std::string()));
  return ListedVm;
}

} // namespace

result<std::vector<listed_vm>> parseVmList(const std::string &Text) {
  try {
    json Document = json::parse(Text);
    // An object without members would read as a list of no VMs.
    if (!Document.is_array())
      return error{error_code::InvalidInput, "VM list: not an array"};
    std::vector<listed_vm> ListedVms;
    for (const auto &Item : Document) {
      TRY(listed_vm ListedVm, parseListedVm(Item));
      ListedVms.push_back(std::move(ListedVm));
    }
    return ListedVms;
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
  auto Sent =
      Transport.send(Address, Request, ListTimeouts, connection_use::Pooled);
  if (auto *Failure = std::get_if<http_failure>(&Sent))
    return error{error_code::Unavailable, "VM list: " + Failure->Message};
  const auto &Response = std::get<http_response>(Sent);
  if (Response.Status != StatusOk)
    return error{error_code::Unavailable,
                 "VM list: status " + std::to_string(Response.Status)};
  return parseVmList(Response.Body);
}

} // namespace azurehaven
