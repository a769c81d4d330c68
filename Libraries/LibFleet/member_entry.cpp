#include "LibFleet/member_entry.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

std::string memberKey(const vm_id &Vm) { return MemberKeyPrefix + Vm.text(); }

std::string encodeMember(const member_entry &Member) {
  nlohmann::json Object = {{"vm", Member.Vm.text()},
                           {"failure_domain", Member.Domain.text()},
                           {"caller_address", Member.CallerAddress.text()},
                           {"peer_address", Member.PeerAddress.text()},
                           {"incarnation", Member.Incarnation}};
  if (Member.ForwardingAddress.Port != 0)
    Object["forwarding_address"] = Member.ForwardingAddress.text();
  return Object.dump();
}

result<member_entry> decodeMember(const std::string &Text) {
  const auto Object = nlohmann::json::parse(Text, nullptr, false);
  const error InvalidEntry{error_code::InvalidInput, "invalid member entry"};
  if (!Object.is_object())
    return InvalidEntry;
  const auto TextOf = [&](const char *Name) {
    auto Found = Object.find(Name);
    return Found != Object.end() && Found->is_string()
               ? Found->get<std::string>()
               : std::string();
  };
  member_entry Member;
  Member.Vm = vm_id(TextOf("vm"));
  Member.Domain = failure_domain_id(TextOf("failure_domain"));
  TRY(Member.CallerAddress, parseNetworkAddress(TextOf("caller_address")));
  TRY(Member.PeerAddress, parseNetworkAddress(TextOf("peer_address")));
  // Processes that take no forwarded requests have none.
  if (const std::string Address = TextOf("forwarding_address");
      !Address.empty()) {
    TRY(Member.ForwardingAddress, parseNetworkAddress(Address));
  }
  auto Incarnation = Object.find("incarnation");
  if (Member.Vm.empty() || Incarnation == Object.end() ||
      !Incarnation->is_number_unsigned())
    return InvalidEntry;
  Member.Incarnation = Incarnation->get<std::uint64_t>();
  return Member;
}

} // namespace azurehaven
