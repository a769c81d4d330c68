#pragma once

#include "LibHttp/http_transport.h"

namespace azurehaven {

/// HTTP transport on cpp-httplib that keeps idle connections for reuse.
class pooled_http_transport : public http_transport {
public:
  pooled_http_transport();
  ~pooled_http_transport() override;

  send_result send(const network_address &To, const http_request &Request,
                   const http_timeouts &Timeouts, connection_use Use) override;
  open_result open(const network_address &To, const http_request &Request,
                   const http_timeouts &Timeouts) override;

private:
  class client_pool;
  class coroutine_stream;
  std::shared_ptr<client_pool> Pool;
};

} // namespace azurehaven
