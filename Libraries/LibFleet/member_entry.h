#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/network_address.h"
#include "LibTypes/result.h"

#include <cstdint>
#include <string>

namespace azurehaven {

/// The registration data that an entry process publishes in the store.
struct member_entry {
  vm_id Vm;
  failure_domain_id Domain;
  /// The address that callers connect to.
  network_address CallerAddress;
  /// The address that other entry processes connect to.
  network_address PeerAddress;
  /// Distinguishes process starts.
  std::uint64_t Incarnation = 0;
  /// The address to which other entry processes forward requests of callers;
  /// its port is 0 if the process takes none.
  network_address ForwardingAddress{};
};

/// Prefix of the store keys of members.
constexpr const char *MemberKeyPrefix = "azurehaven/members/";

std::string memberKey(const vm_id &Vm);
std::string encodeMember(const member_entry &Member);
/// Returns InvalidInput if the text is not a valid member entry.
result<member_entry> decodeMember(const std::string &Text);

} // namespace azurehaven
