#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string SignedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\n";
const std::string Framings[] = {
    "Content-Length: 2\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n",
    // The response ends with its connection.
    "\r\n",
};
/// Long enough for an ejected endpoint to be used again.
constexpr milliseconds EjectionTime{60000};

/// Sends a request of each kind for each place at which the head can be cut.
void checkCutHeads(relay_fixture &Vm, const std::string &Whole,
                   after_response After) {
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    for (const char *Prefix : {"/once/", "/many/", "/stream/"}) {
      CAPTURE(Size);
      CAPTURE(Prefix);
      Vm.setScript([&](std::size_t, const received_request &) {
        return scripted_response{Whole.substr(0, Size), After};
      });
      Vm.Received.clear();
      Vm.Clock.skip(EjectionTime);
      Vm.Fleet.Confirmation.confirm(Vm.Clock.now());
      // Requests differ, so that none is taken for one that crashes endpoints.
      const std::string Path =
          Prefix + std::to_string(Size) + "-" + std::to_string(Whole.size());
      CHECK(statusOf(Vm.sendRequest(Path)) == 502);
      if (std::string(Prefix) == "/once/")
        CHECK(Vm.Received.size() == 1);
    }
}

void checkAllCutHeads(const std::string &Before) {
  for (const std::string &Framing : Framings)
    for (const auto After : {after_response::Close, after_response::Reset}) {
      relay_fixture Vm(3);
      Vm.addRoute("/once/", route_kind::NonIdempotent);
      Vm.addRoute("/many/", route_kind::Idempotent);
      Vm.addRoute("/stream/", route_kind::Stream);
      Vm.applyRoutes();
      checkCutHeads(Vm, Before + SignedHead + Framing, After);
    }
}

} // namespace

TEST_CASE("A response whose head is cut at any place is never forwarded") {
  checkAllCutHeads({});
}

TEST_CASE("A response that is cut in or after an interim head is never "
          "forwarded") {
  checkAllCutHeads(Interim);
}
