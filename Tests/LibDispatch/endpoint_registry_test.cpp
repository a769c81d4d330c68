#include "LibDispatch/endpoint_registry.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

endpoint_descriptor factsOf(const char *Id, std::int64_t Incarnation = 1) {
  endpoint_descriptor Descriptor;
  Descriptor.Id = endpoint_id(Id);
  Descriptor.Service = service_id("s");
  Descriptor.Address = {"127.0.0.1", 80};
  Descriptor.Incarnation = Incarnation;
  return Descriptor;
}

} // namespace

TEST_CASE("A new start under the same id knows nothing of the old one") {
  endpoint_registry Roster;
  Roster.put(factsOf("e"));
  Roster.find(endpoint_id("e"))->InFlight = 7;
  Roster.put(factsOf("e"));
  CHECK(Roster.find(endpoint_id("e"))->InFlight == 7);
  Roster.put(factsOf("e", 2));
  CHECK(Roster.find(endpoint_id("e"))->InFlight == 0);
}

TEST_CASE("A removed endpoint is leaving for those that still hold it") {
  endpoint_registry Roster;
  Roster.put(factsOf("e"));
  const auto Held = Roster.find(endpoint_id("e"));
  Roster.remove(endpoint_id("e"));
  CHECK_FALSE(Held->isUsable(Start));
  CHECK(Roster.endpointsOf(service_id("s")).empty());
}

TEST_CASE("An entry that lapsed is kept until it is due, or written again") {
  endpoint_registry Roster;
  Roster.put(factsOf("lapsed"));
  Roster.put(factsOf("renewed"));
  Roster.scheduleRemoval(endpoint_id("lapsed"), Start + milliseconds(2000));
  Roster.scheduleRemoval(endpoint_id("renewed"), Start + milliseconds(2000));
  CHECK(Roster.removeExpired(Start + milliseconds(1999)).empty());
  Roster.put(factsOf("renewed"));
  CHECK(Roster.removeExpired(Start + milliseconds(2000)) ==
        std::vector{endpoint_id("lapsed")});
  CHECK(Roster.find(endpoint_id("renewed")));
}
