#pragma once

#include "LibHttp/http_transport.h"
#include "LibMembership/vm_list.h"

namespace azurehaven {

/// Fetches the platform's list: GET /v1/vms?viewer=VM returns a JSON array.
/// Errors: Unavailable (no response with status 200), InvalidInput.
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

/// Returns InvalidInput unless the text is an array of well-formed VM objects.
result<std::vector<listed_vm>> parseVmList(const std::string &Text);

} // namespace azurehaven
