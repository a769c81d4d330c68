#pragma once

#include "LibEntry/caller_api.h"
#include "LibLedger/custody_table.h"
#include "LibPeer/peer_network.h"
#include "LibStore/counting_store.h"

namespace azurehaven {

/// The HTTP API for operators, with metrics and health.
class operator_api {
public:
  operator_api(const entry_services &Services, const counting_store &Counts,
               const caller_api &Callers, peer_network &Network,
               custody_table &Custody);

  served_response serve(const served_request &Request);

private:
  served_response ready() const;
  served_response status();
  served_response showConfiguration() const;
  served_response change(const served_request &Request);
  served_response bills(const served_request &Request);
  served_response audit();
  served_response explain(const served_request &Request);
  served_response renderMetrics();

  const entry_services &Services;
  const counting_store &Counts;
  const caller_api &Callers;
  peer_network &Network;
  custody_table &Custody;
};

} // namespace azurehaven
