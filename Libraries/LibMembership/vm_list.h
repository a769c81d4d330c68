#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/network_address.h"

#include <optional>
#include <vector>

namespace azurehaven {

enum class vm_kind { Entry, Engine, Service };
enum class listed_state { Live, Leaving };

/// One line of the platform's lagging list of VMs.
struct listed_vm {
  vm_id Vm;
  vm_kind Kind = vm_kind::Entry;
  failure_domain_id Domain;
  listed_state State = listed_state::Live;
  /// Where callers, or the system for an endpoint, connect to.
  network_address Address;
  /// For entry VMs only.
  std::optional<network_address> PeerAddress;
  /// For plain services only.
  service_id Service;
};

/// The platform's list of VMs. Calls block; the answer lags.
class vm_list {
public:
  virtual ~vm_list() = default;
  virtual result<std::vector<listed_vm>> fetch() = 0;
};

} // namespace azurehaven
