#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("An answer of a small model is not replaced by a failure if the "
          "endpoints of a larger one turn the request away") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream).ModelsBySize = {
      model_id("small"), model_id("large")};
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &Request) {
    if (headerValue(Request.Head.Headers, "Model") == "large")
      return scripted_response{
          wholeResponse(503, "Id: r1\r\nNot-Run: 1\r\n", "")};
    return scripted_response{
        "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nConfidence: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        chunk(event(1)) + "0\r\n\r\n"};
  });
  const auto Response = Fixture.sendRequest("/p/", "Model: *\r\n");
  CHECK(statusOf(Response) == 200);
  CHECK(bodyOf(Response) == event(1));
}
