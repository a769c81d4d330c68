#include "LibDispatch/endpoint_registry.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

endpoint_descriptor descriptorOf(const char *Id, std::int64_t Incarnation = 1) {
  endpoint_descriptor Descriptor;
  Descriptor.Id = endpoint_id(Id);
  Descriptor.Service = service_id("s");
  Descriptor.Address = {"127.0.0.1", 80};
  Descriptor.Incarnation = Incarnation;
  return Descriptor;
}

} // namespace

TEST_CASE("A new incarnation does not inherit the state of the previous one") {
  endpoint_registry Registry;
  Registry.put(descriptorOf("e"));
  Registry.find(endpoint_id("e"))->InFlight = 7;
  Registry.put(descriptorOf("e"));
  CHECK(Registry.find(endpoint_id("e"))->InFlight == 7);
  Registry.put(descriptorOf("e", 2));
  CHECK(Registry.find(endpoint_id("e"))->InFlight == 0);
}

TEST_CASE(
    "A removed endpoint is unusable for requests that still hold its record") {
  endpoint_registry Registry;
  Registry.put(descriptorOf("e"));
  const auto Held = Registry.find(endpoint_id("e"));
  Registry.remove(endpoint_id("e"));
  CHECK_FALSE(Held->isUsable(Start));
  CHECK(Registry.endpointsOf(service_id("s")).empty());
}

TEST_CASE("An endpoint is removed when due unless it is registered again") {
  endpoint_registry Registry;
  Registry.put(descriptorOf("lapsed"));
  Registry.put(descriptorOf("renewed"));
  Registry.scheduleRemoval(endpoint_id("lapsed"), Start + milliseconds(2000));
  Registry.scheduleRemoval(endpoint_id("renewed"), Start + milliseconds(2000));
  CHECK(Registry.removeExpired(Start + milliseconds(1999)).empty());
  Registry.put(descriptorOf("renewed"));
  CHECK(Registry.removeExpired(Start + milliseconds(2000)) ==
        std::vector{endpoint_id("lapsed")});
  CHECK(Registry.find(endpoint_id("renewed")));
}

TEST_CASE("An endpoint that has said it is leaving stays so for this start") {
  const steady_time Now{std::chrono::hours(1)};
  endpoint_descriptor Descriptor;
  Descriptor.Id = endpoint_id("e");
  Descriptor.Service = service_id("s");
  Descriptor.Incarnation = 5;
  endpoint_registry Registry;
  Registry.put(Descriptor);
  const auto Record = Registry.find(Descriptor.Id);
  CHECK(Registry.markLeaving({Descriptor.Id, 5}, Now));
  CHECK_FALSE(Registry.markLeaving({Descriptor.Id, 5}, Now));
  CHECK_FALSE(Record->isUsable(Now));
  SUBCASE("whatever its entry says") {
    Registry.put(Descriptor);
    CHECK_FALSE(Registry.find(Descriptor.Id)->isUsable(Now));
  }
  SUBCASE("although its entry was removed and returns") {
    Registry.remove(Descriptor.Id);
    Registry.removeExpired(Now + std::chrono::minutes(1));
    Registry.put(Descriptor);
    CHECK_FALSE(Registry.find(Descriptor.Id)->isUsable(Now));
  }
  SUBCASE("until it starts again") {
    Descriptor.Incarnation = 6;
    Registry.put(Descriptor);
    CHECK(Registry.find(Descriptor.Id)->isUsable(Now));
    // The word of another VM on the earlier start comes late.
    CHECK_FALSE(Registry.markLeaving({Descriptor.Id, 5}, Now));
    CHECK(Registry.find(Descriptor.Id)->isUsable(Now));
  }
}

TEST_CASE("Only a new start ends the draining of an endpoint") {
  const steady_time Now{std::chrono::hours(1)};
  endpoint_descriptor Descriptor;
  Descriptor.Id = endpoint_id("e");
  Descriptor.Incarnation = 5;
  Descriptor.IsLeaving = true;
  endpoint_registry Registry;
  Registry.put(Descriptor);
  // A restored store still has the entry from before.
  Descriptor.IsLeaving = false;
  Registry.put(Descriptor);
  CHECK_FALSE(Registry.find(Descriptor.Id)->isUsable(Now));
  Descriptor.Incarnation = 6;
  Registry.put(Descriptor);
  CHECK(Registry.find(Descriptor.Id)->isUsable(Now));
}

TEST_CASE("A later process start at the same address replaces one under any "
          "id") {
  endpoint_registry Registry;
  endpoint_descriptor First;
  First.Id = endpoint_id("a");
  First.Address = {"127.0.0.1", 9000};
  First.Incarnation = 1;
  Registry.put(First);
  CHECK_FALSE(Registry.isReplacedAt(First.Address, First.Incarnation));
  Registry.remove(First.Id);
  CHECK_FALSE(Registry.isReplacedAt(First.Address, First.Incarnation));
  endpoint_descriptor Second = First;
  Second.Id = endpoint_id("b");
  Second.Incarnation = 2;
  Registry.put(Second);
  CHECK(Registry.isReplacedAt(First.Address, First.Incarnation));
  CHECK_FALSE(Registry.isReplacedAt({"127.0.0.1", 9001}, First.Incarnation));
}
