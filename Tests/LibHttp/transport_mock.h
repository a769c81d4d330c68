#pragma once

#include "LibHttp/http_transport.h"

#include <doctest/doctest.h>
// Needs doctest.h before it.
#include <doctest/trompeloeil.hpp>

namespace azurehaven {

class transport_mock : public http_transport {
public:
  MAKE_MOCK4(send,
             send_result(const network_address &, const http_request &,
                         const http_timeouts &, connection_use),
             override);
  MAKE_MOCK3(open,
             open_result(const network_address &, const http_request &,
                         const http_timeouts &),
             override);
};

} // namespace azurehaven
