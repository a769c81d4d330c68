#pragma once

#include "LibEntry/entry_services.h"
#include "LibMembership/vm_list.h"

#include <atomic>

namespace azurehaven {

/// Updates the endpoint table from the platform's VM list and the status
/// reports of the endpoints.
class endpoint_poller {
public:
  endpoint_poller(const entry_services &Services, vm_list &List)
      : Services(Services), List(List) {}

  /// Fetches and applies the VM list. Returns whether that succeeded. Blocks.
  bool refreshList();
  /// Polls the endpoints whose report is due, in parallel. Blocks.
  void refreshReports();

  /// Whether every listed endpoint has been polled at least once.
  bool hasReports() const { return HasReports; }

private:
  /// Logs that this VM has lost or regained its path to the endpoints.
  void logPathChange();
  void pollEndpoint(const chosen_endpoint &Endpoint);

  const entry_services &Services;
  vm_list &List;
  std::atomic<bool> HasList = false;
  std::atomic<bool> HasReports = false;
  bool HasLostPath = false;
};

} // namespace azurehaven
