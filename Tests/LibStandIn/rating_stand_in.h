#pragma once

#include "LibServer/http_server.h"
#include "LibStandIn/fault_switches.h"

namespace azurehaven {

/// The rating service. Rates a response as good (1) or bad (0), derived from
/// the request id with the quality of the version named in the response as
/// probability. POST /control with {"model@version": thousandths} sets the
/// quality.
class rating_stand_in {
public:
  served_response serve(const served_request &Request);

private:
  fault_switches Qualities;
};

} // namespace azurehaven
