#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/network_address.h"

#include <optional>
#include <vector>

namespace azurehaven {

enum class vm_kind { Entry, Engine, Service };
enum class listed_state { Live, Leaving };

/// One item of the platform's list of VMs, which lags behind their real state.
struct listed_vm {
  vm_id Vm;
  vm_kind Kind = vm_kind::Entry;
  failure_domain_id Domain;
  listed_state State = listed_state::Live;
  /// Address that callers connect to; for an endpoint, the one that entry VMs
  /// connect to.
  network_address Address;
  /// For entry VMs only.
  std::optional<network_address> PeerAddress;
  /// For plain services only.
  service_id Service;
};

/// The platform's list of VMs. Calls block; the list lags behind the VMs' real
/// state.
class vm_list {
public:
  virtual ~vm_list() = default;
  virtual result<std::vector<listed_vm>> fetch() = 0;
};

} // namespace azurehaven
