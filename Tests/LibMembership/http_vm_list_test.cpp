#include "LibHttp/transport_mock.h"
#include "LibMembership/http_vm_list.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string OneVm =
    R"([{"vm":"e","kind":"engine","domain":"a","address":"127.0.0.1:1"}])";

result<std::vector<listed_vm>> fetch(int Status, const std::string &Body) {
  transport_mock Transport;
  REQUIRE_CALL(Transport, send(trompeloeil::_, trompeloeil::_, trompeloeil::_,
                               trompeloeil::_))
      .LR_RETURN(send_result(http_response{Status, {}, Body}));
  return http_vm_list(Transport, {}, vm_id("vm")).fetch();
}

} // namespace

TEST_CASE("A list is read from a successful response only") {
  const auto Fetched = fetch(200, OneVm);
  REQUIRE_FALSE(isError(Fetched));
  CHECK(valueOf(Fetched).size() == 1);
  for (const int Status : {404, 500, 503}) {
    CHECK(isError(fetch(Status, OneVm)));
    CHECK(isError(fetch(Status, "[]")));
  }
}

TEST_CASE("A document that is no array is not a list of no VMs") {
  for (const char *Body : {"{}", "null", "0", "\"\"", ""})
    CHECK(isError(fetch(200, Body)));
  CHECK_FALSE(isError(fetch(200, "[]")));
}
