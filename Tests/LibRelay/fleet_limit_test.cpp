#include "relay_fleet_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace azurehaven;

namespace {

constexpr milliseconds Step{50};
/// From this time on after it has named its limit, an endpoint may count on it.
constexpr milliseconds NoticeTime{3000};
constexpr milliseconds Window{4000};
constexpr double RateTolerance = 1.5;
constexpr double BurstTolerance = 5;

/// Endpoint e0 names a limit in all its responses; the others have none.
class limited_fleet : public relay_fleet_fixture {
public:
  limited_fleet(std::size_t VmCount, std::size_t EndpointCount,
                const std::string &Limit)
      : relay_fleet_fixture(VmCount, EndpointCount), Limit(Limit) {
    addRoute("/p/", route_kind::Idempotent);
    applyRoutes();
    StartedAt = vm(0).Clock.now();
    setScript([this](std::size_t, const received_request &Request) {
      std::string Fields = "Id: r1\r\nSigned: x\r\n";
      if (Request.Endpoint == "e0") {
        Arrivals.push_back(vm(0).Clock.now());
        if (!this->Limit.empty())
          Fields += "Rate-Limit: " + this->Limit + "\r\n";
      }
      return scripted_response{wholeResponse(200, Fields, "ok")};
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
  /// The most requests of any window that e0 got once it could count on its
  /// limit.
  double mostInWindow() const {
    double Most = 0;
    for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
      if (*First < StartedAt + NoticeTime)
        continue;
      const auto End = std::find_if(First, Arrivals.end(), [&](steady_time At) {
        return At - *First >= Window;
      });
      Most = std::max(Most, static_cast<double>(End - First));
    }
    return Most;
  }
  static double allowed(double PerSecond) {
    return RateTolerance * PerSecond *
               std::chrono::duration<double>(Window).count() +
           BurstTolerance;
  }

  std::string Limit;
  steady_time StartedAt;
  std::vector<steady_time> Arrivals;
  std::map<int, int> Statuses;
};

} // namespace

TEST_CASE("All VMs together keep the rate that an endpoint names") {
  for (const std::size_t VmCount : {1, 2, 5, 12}) {
    CAPTURE(VmCount);
    limited_fleet Fleet(VmCount, 3, "1.3");
    Fleet.serveFor(milliseconds(12000));
    CHECK(Fleet.mostInWindow() <= limited_fleet::allowed(1.3));
    CHECK(Fleet.Statuses[200] > 0);
    CHECK(Fleet.Statuses.size() == 1);
  }
}

TEST_CASE("An endpoint without a limit any more gets its requests again, from "
          "all VMs") {
  limited_fleet Fleet(5, 2, "1");
  Fleet.serveFor(milliseconds(6000));
  Fleet.Limit.clear();
  Fleet.serveFor(milliseconds(4000));
  Fleet.Arrivals.clear();
  Fleet.serveFor(milliseconds(1000));
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK_FALSE(Fleet.vm(Index)
                    .Fleet.Endpoints.find(endpoint_id("e0"))
                    ->RateLimit.isLimited());
  CHECK(Fleet.Arrivals.size() > 20);
}

TEST_CASE("A limit of 0 is asked about now and then, and no more") {
  limited_fleet Fleet(5, 2, "0");
  Fleet.serveFor(milliseconds(12000));
  CHECK(Fleet.mostInWindow() <= limited_fleet::allowed(0));
  CHECK(Fleet.Statuses.size() == 1);
  Fleet.Limit.clear();
  Fleet.serveFor(milliseconds(10000));
  CHECK_FALSE(Fleet.vm(0)
                  .Fleet.Endpoints.find(endpoint_id("e0"))
                  ->RateLimit.isLimited());
}

TEST_CASE("VMs that get no notices keep the rate as well") {
  limited_fleet Fleet(5, 2, "1.3");
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.isolateFromPeers(Index);
  Fleet.serveFor(milliseconds(12000));
  CHECK(Fleet.mostInWindow() <= limited_fleet::allowed(1.3));
}

TEST_CASE("A request beyond the rate of all endpoints is refused at once, with "
          "a time at which it is admitted") {
  limited_fleet Fleet(1, 1, "1");
  Fleet.serveFor(milliseconds(2000));
  auto Refused = Fleet.vm(0).sendRequest("/p/x");
  if (statusOf(Refused) == 200)
    Refused = Fleet.vm(0).sendRequest("/p/x");
  REQUIRE(statusOf(Refused) == 503);
  const milliseconds RetryAfter(std::stoi(fieldOf(Refused, "Retry-After")));
  Fleet.advance(RetryAfter);
  CHECK(statusOf(Fleet.vm(0).sendRequest("/p/x")) == 200);
}

TEST_CASE("A new process start of a limited endpoint has no limit") {
  limited_fleet Fleet(1, 1, "0");
  Fleet.serveFor(milliseconds(500));
  auto Restarted = Fleet.vm(0).Fleet.Endpoints.find(endpoint_id("e0"));
  REQUIRE(Restarted->RateLimit.isLimited());
  endpoint_descriptor Descriptor = Restarted->Descriptor;
  ++Descriptor.Incarnation;
  Fleet.vm(0).Fleet.Endpoints.put(Descriptor);
  CHECK(statusOf(Fleet.vm(0).sendRequest("/p/x")) == 200);
}

TEST_CASE("Inspections of a limited engine count towards its rate") {
  struct counting_inspector : engine_inspector {
    void inspect(const endpoint_descriptor &,
                 std::function<void(result<engine_report>)> Handler) override {
      ++Count;
      Handler(engine_report{});
    }
    int Count = 0;
  } Inspector;
  relay_fixture Vm(1);
  Vm.Content.Pools.front().Engine = engine_pool_settings();
  Vm.addRoute("/s/", route_kind::Stream);
  Vm.applyRoutes();
  Vm.Context.Inspector = &Inspector;
  Vm.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Hang};
  });
  auto Connection = Vm.startRequest("/s/x", [](const call_result &) {});
  Vm.runUntil([&] { return !Vm.Received.empty(); });
  auto Engine = Vm.Fleet.Endpoints.find(endpoint_id("e0"));
  Engine->RateLimit.observe(0.25, Vm.Clock.now(), Vm.Clock.now());
  Engine->RateLimit.setShare(1, Vm.Clock.now());
  // Long enough without progress to be inspected, but not for a token.
  Vm.Clock.skip(milliseconds(1500));
  Vm.Loop.run_for(milliseconds(400));
  CHECK(Inspector.Count == 0);
  Vm.Clock.skip(milliseconds(4000));
  Vm.runUntil([&] { return Inspector.Count > 0; });
  CHECK_FALSE(Engine->RateLimit.allows(Vm.Clock.now()));
  Connection->abort();
  Vm.runUntil([&] { return Vm.Context.ActiveRequests.empty(); });
}
