#include "relay_fleet_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace azurehaven;

namespace {

constexpr milliseconds Step{50};
/// From this time on after they have said that they are brittle, endpoints may
/// have room for fewer requests.
constexpr milliseconds NoticeTime{3000};
constexpr milliseconds Window{1000};

/// Endpoint e0 says that it falls over when it has to reject more than
/// Tolerance requests in a second, and has no room from NoticeTime on.
class brittle_fleet : public relay_fleet_fixture {
public:
  brittle_fleet(std::size_t VmCount, std::size_t EndpointCount, int Tolerance)
      : relay_fleet_fixture(VmCount, EndpointCount) {
    addRoute("/p/", route_kind::Idempotent);
    applyRoutes();
    const steady_time StartedAt = vm(0).Clock.now();
    setScript([=, this](std::size_t, const received_request &Request) {
      std::string Fields =
          "Id: r1\r\nBrittle: " + std::to_string(Tolerance) + "\r\n";
      const steady_time Now = vm(0).Clock.now();
      const bool HasRoom =
          Request.Endpoint != "e0" || IsEmptied || Now - StartedAt < NoticeTime;
      if (HasRoom) {
        ++Served[Request.Endpoint];
        return scripted_response{
            wholeResponse(200, Fields + "Signed: x\r\n", "ok")};
      }
      Rejections.push_back(Now);
      return scripted_response{
          wholeResponse(503, Fields + "Not-Run: 1\r\n", "")};
    });
  }

  /// Every VM gets a request in each step.
  void serveFor(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      for (std::size_t Index = 0; Index < size(); ++Index)
        ++Statuses[statusOf(vm(Index).sendRequest("/p/x"))];
      advance(Step);
    }
  }
  /// The most requests that e0 had to reject within a second.
  std::size_t mostRejections() const {
    std::ptrdiff_t Most = 0;
    for (auto First = Rejections.begin(); First != Rejections.end(); ++First) {
      const auto End =
          std::find_if(First, Rejections.end(),
                       [&](steady_time At) { return At - *First >= Window; });
      Most = std::max(Most, End - First);
    }
    return static_cast<std::size_t>(Most);
  }

  bool IsEmptied = false;
  std::vector<steady_time> Rejections;
  std::map<std::string, int> Served;
  std::map<int, int> Statuses;
};

} // namespace

TEST_CASE("All VMs together leave a brittle endpoint alone that has no room") {
  for (const std::size_t VmCount : {1, 2, 5, 12}) {
    CAPTURE(VmCount);
    // A VM that lost its requests to e0 has other endpoints.
    const std::size_t EndpointCount = std::max<std::size_t>(2, VmCount);
    brittle_fleet Fleet(VmCount, EndpointCount, 3);
    Fleet.serveFor(milliseconds(12000));
    CHECK(Fleet.mostRejections() <= 3);
    CHECK(Fleet.Statuses.size() == 1);
    // It is asked again, and used again once it has room.
    CHECK(Fleet.Rejections.size() >= 2);
    Fleet.IsEmptied = true;
    Fleet.serveFor(milliseconds(12000));
    Fleet.Served.clear();
    Fleet.serveFor(milliseconds(1000));
    CHECK(Fleet.Served["e0"] > 0);
  }
}

TEST_CASE("The other VMs learn that a service is brittle, and that it no "
          "longer is") {
  brittle_fleet Fleet(2, 2, 3);
  CHECK(statusOf(Fleet.vm(0).sendRequest("/p/x")) == 200);
  Fleet.exchangeNotices();
  const auto Endpoint = Fleet.vm(1).Fleet.Endpoints.find(endpoint_id("e1"));
  CHECK(Endpoint->Brittle.isBrittle());
  Fleet.advance(milliseconds(100));
  Fleet.setScript([](std::size_t, const received_request &) {
    return scripted_response{
        wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
  });
  CHECK(statusOf(Fleet.vm(0).sendRequest("/p/x")) == 200);
  Fleet.exchangeNotices();
  CHECK_FALSE(Endpoint->Brittle.isBrittle());
}

TEST_CASE("A request waits for a moment while brittle endpoints are busy with "
          "earlier ones") {
  relay_fixture Vm(1);
  Vm.addRoute("/p/", route_kind::Idempotent);
  Vm.applyRoutes();
  Vm.setScript([](std::size_t Number, const received_request &) {
    return scripted_response{
        wholeResponse(200, "Id: r1\r\nSigned: x\r\nBrittle: 2\r\n", "ok"),
        after_response::Keep, milliseconds(Number == 0 ? 0 : 60)};
  });
  CHECK(statusOf(Vm.sendRequest("/p/x")) == 200);
  std::vector<int> Statuses;
  std::vector<std::shared_ptr<endpoint_connection>> Connections;
  for (int Count = 0; Count < 3; ++Count)
    Connections.push_back(
        Vm.startRequest("/p/x", [&](const call_result &Result) {
          Statuses.push_back(statusOf(Result));
        }));
  Vm.runUntil([&] { return Statuses.size() == 3; });
  CHECK(Statuses == std::vector<int>{200, 200, 200});
}

TEST_CASE("A request that no brittle endpoint takes soon is refused") {
  relay_fixture Vm(1);
  Vm.addRoute("/p/", route_kind::NonIdempotent);
  Vm.applyRoutes();
  Vm.setScript([](std::size_t, const received_request &) {
    return scripted_response{
        wholeResponse(503, "Id: r1\r\nNot-Run: 1\r\nBrittle: 2\r\n", "")};
  });
  for (int Count = 0; Count < 3; ++Count)
    CHECK(statusOf(Vm.sendRequest("/p/x")) == 503);
  CHECK(Vm.Received.size() == 1);
}
