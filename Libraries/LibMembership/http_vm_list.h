#pragma once

#include "LibHttp/http_transport.h"
#include "LibMembership/vm_list.h"

namespace azurehaven {

/// The list over HTTP: GET /v1/vms?viewer=VM gives a JSON array.
class http_vm_list : public vm_list {
public:
  http_vm_list(http_transport &Transport, network_address Address,
               vm_id Viewer);
  result<std::vector<listed_vm>> fetch() override;

private:
  http_transport &Transport;
  const network_address Address;
  const vm_id Viewer;
};

/// Returns InvalidInput for anything but an array of well-formed lines.
result<std::vector<listed_vm>> parseVmList(const std::string &Text);

} // namespace azurehaven
