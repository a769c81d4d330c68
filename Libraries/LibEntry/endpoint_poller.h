#pragma once

#include "LibEntry/entry_services.h"
#include "LibMembership/vm_list.h"

#include <atomic>

namespace azurehaven {

/// Keeps the endpoint table fresh from the platform's list and the endpoints'
/// own reports.
class endpoint_poller {
public:
  endpoint_poller(const entry_services &Services, vm_list &List)
      : Services(Services), List(List) {}

  /// Takes over the list; returns whether it could be had. Blocks.
  bool refreshList();
  /// Asks the endpoints whose report is old, side by side. Blocks.
  void refreshReports();

  /// Whether every listed endpoint has been asked at least once.
  bool hasReports() const { return HasReports; }

private:
  void pollEndpoint(const chosen_endpoint &Endpoint);

  const entry_services &Services;
  vm_list &List;
  std::atomic<bool> HasList = false;
  std::atomic<bool> HasReports = false;
};

} // namespace azurehaven
