#pragma once

#include "LibEntry/caller_api.h"
#include "LibLedger/custody_table.h"
#include "LibPeer/peer_network.h"
#include "LibStore/counting_store.h"

namespace azurehaven {

/// The HTTP API for operators, with metrics and health checks.
class operator_api {
public:
  operator_api(const entry_services &Services,
               const counting_store &StoreCounts, const caller_api &CallerApi,
               peer_network &Network, custody_table &CustodyTable);

  served_response serve(const served_request &Request);

private:
  served_response readiness() const;
  served_response status();
  served_response showConfiguration() const;
  served_response applyChange(const served_request &Request);
  served_response listBills(const served_request &Request);
  served_response listAuditRecords();
  served_response explainRequest(const served_request &Request);
  served_response renderMetrics();

  const entry_services &Services;
  const counting_store &StoreCounts;
  const caller_api &CallerApi;
  peer_network &Network;
  custody_table &CustodyTable;
};

} // namespace azurehaven
