#include "LibRelay/directory_service.h"

#include "test_fleet.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const network_address Own{"10.0.0.1", 80};

fleet_state makeFleet() {
  fleet_state Fleet = testFleet();
  Fleet.Routes = std::make_shared<const route_table>(route_table::content{});
  return Fleet;
}

} // namespace

TEST_CASE("The directory lists this VM only while it is ready") {
  fleet_state Fleet = makeFleet();
  Fleet.Members.put(testMember("vm-1", "10.0.0.1"));
  Fleet.Members.put(testMember("vm-2", "10.0.0.2"));
  Fleet.Confirmation.confirm(Start);
  CHECK(buildDirectoryResponse(Fleet, Own, Start).Addresses.size() == 2);
  Fleet.IsStopping = true;
  const auto Response = buildDirectoryResponse(Fleet, Own, Start);
  REQUIRE(Response.Addresses.size() == 1);
  CHECK(Response.Addresses.front().Host == "10.0.0.2");
}

TEST_CASE("A VM without a current configuration is not ready") {
  fleet_state Fleet = makeFleet();
  CHECK_FALSE(isReadyForCallers(Fleet, Start));
  Fleet.Confirmation.confirm(Start);
  CHECK(isReadyForCallers(Fleet, Start));
  CHECK_FALSE(isReadyForCallers(Fleet, Start + milliseconds(3801)));
  Fleet.Routes = nullptr;
  CHECK_FALSE(isReadyForCallers(Fleet, Start));
}

TEST_CASE("The directory is never empty") {
  const fleet_state Fleet = makeFleet();
  CHECK(buildDirectoryResponse(Fleet, Own, Start).Addresses.size() == 1);
}
