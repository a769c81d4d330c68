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
