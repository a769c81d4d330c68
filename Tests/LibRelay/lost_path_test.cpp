#include "relay_fleet_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr milliseconds Step{50};
constexpr std::size_t CutVm = 2;
/// Time after the loss of the path from which callers must not notice it.
constexpr milliseconds NoticeTime{3000};

std::string signedFields(const received_request &Request) {
  return "Id: " + headerValue(Request.Head.Headers, "Id") + "\r\nSigned: x\r\n";
}

/// A fleet whose endpoints respond to everything; one of its VMs, CutVm, loses
/// its path to them.
class path_fleet : public relay_fleet_fixture {
public:
  explicit path_fleet(std::size_t VmCount = 4, std::size_t EndpointCount = 3)
      : relay_fleet_fixture(VmCount, EndpointCount) {
    addRoute("/once/", route_kind::NonIdempotent);
    addRoute("/many/", route_kind::Idempotent);
    addRoute("/stream/", route_kind::Stream);
    applyRoutes();
    setScript([](std::size_t, const received_request &Request) {
      if (Request.Head.Target.starts_with("/stream/"))
        return scripted_response{"HTTP/1.1 200 OK\r\n" + signedFields(Request) +
                                 "Transfer-Encoding: chunked\r\n\r\n" +
                                 chunk(event(1) + event(2) + event(3)) +
                                 chunk(event(4)) + "0\r\n\r\n"};
      return scripted_response{
          wholeResponse(200, signedFields(Request), Request.Body + "!")};
    });
  }

  /// Every VM gets one request of each kind in each step; counts those that
  /// were answered.
  void serveFor(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      for (std::size_t Index = 0; Index < size(); ++Index)
        for (const char *Path : {"/once/x", "/many/x", "/stream/x"}) {
          ++Sent[Index];
          Answered[Index] +=
              statusOf(vm(Index).sendRequest(Path, {}, "body")) == 200;
        }
      advance(Step);
    }
  }
  void restartCount() {
    Sent.clear();
    Answered.clear();
  }

  std::map<std::size_t, int> Sent;
  std::map<std::size_t, int> Answered;
};

} // namespace

TEST_CASE("Callers of a VM that lost its path to the endpoints are served "
          "through its peers") {
  path_fleet Fleet;
  Fleet.serveFor(milliseconds(500));
  Fleet.losePath(CutVm);
  Fleet.serveFor(NoticeTime);
  Fleet.restartCount();
  Fleet.serveFor(milliseconds(3000));
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    CAPTURE(Index);
    CHECK(Fleet.Answered[Index] == Fleet.Sent[Index]);
  }
}
