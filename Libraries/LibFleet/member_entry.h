#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/network_address.h"
#include "LibTypes/result.h"

#include <cstdint>
#include <string>

namespace azurehaven {

/// What one entry process says of itself in the store.
struct member_entry {
  vm_id Vm;
  failure_domain_id Domain;
  /// Where callers connect.
  network_address CallerAddress;
  /// Where other entry processes connect.
  network_address PeerAddress;
  /// Differs between two starts.
  std::uint64_t Incarnation = 0;
};

/// Keys of the system's own entries in the store.
constexpr const char *MemberKeyPrefix = "azurehaven/members/";

std::string memberKey(const vm_id &Vm);
std::string encodeMember(const member_entry &Member);
/// Returns InvalidInput for anything but an entry that names a member.
result<member_entry> decodeMember(const std::string &Text);

} // namespace azurehaven
