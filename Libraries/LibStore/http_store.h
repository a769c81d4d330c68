#pragma once

#include "LibHttp/http_transport.h"
#include "LibStore/store.h"

namespace azurehaven {

/// Client of the store's HTTP API: GET /v1/kv, GET /v1/kv/list, POST
/// /v1/kv/cas.
class http_store : public store {
public:
  http_store(http_transport &Transport, network_address Address,
             milliseconds Timeout);

  result<store_entry> read(store_purpose Purpose,
                           const std::string &Key) override;
  result<std::uint64_t> compareAndSwap(store_purpose Purpose,
                                       const std::string &Key,
                                       const std::string &Value,
                                       std::uint64_t ExpectedRevision) override;
  result<std::vector<store_entry>> list(store_purpose Purpose,
                                        const std::string &Prefix,
                                        std::uint64_t AfterRevision) override;

private:
  result<http_response> send(const http_request &Request);

  http_transport &Transport;
  const network_address Address;
  const http_timeouts Timeouts;
};

} // namespace azurehaven
