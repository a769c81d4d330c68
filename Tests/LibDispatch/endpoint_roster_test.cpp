#include "LibDispatch/endpoint_roster.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

endpoint_facts factsOf(const char *Id, std::int64_t Incarnation = 1) {
  endpoint_facts Facts;
  Facts.Id = endpoint_id(Id);
  Facts.Service = service_id("s");
  Facts.Address = {"127.0.0.1", 80};
  Facts.Incarnation = Incarnation;
  return Facts;
}

} // namespace

TEST_CASE("A new start under the same id knows nothing of the old one") {
  endpoint_roster Roster;
  Roster.put(factsOf("e"));
  Roster.find(endpoint_id("e"))->InFlight = 7;
  Roster.put(factsOf("e"));
  CHECK(Roster.find(endpoint_id("e"))->InFlight == 7);
  Roster.put(factsOf("e", 2));
  CHECK(Roster.find(endpoint_id("e"))->InFlight == 0);
}

TEST_CASE("A removed endpoint is leaving for those that still hold it") {
  endpoint_roster Roster;
  Roster.put(factsOf("e"));
  const auto Held = Roster.find(endpoint_id("e"));
  Roster.remove(endpoint_id("e"));
  CHECK_FALSE(Held->isUsable(Start));
  CHECK(Roster.ofService(service_id("s")).empty());
}

TEST_CASE("An entry that lapsed is kept until it is due, or written again") {
  endpoint_roster Roster;
  Roster.put(factsOf("lapsed"));
  Roster.put(factsOf("renewed"));
  Roster.removeAt(endpoint_id("lapsed"), Start + milliseconds(2000));
  Roster.removeAt(endpoint_id("renewed"), Start + milliseconds(2000));
  CHECK(Roster.removeDue(Start + milliseconds(1999)).empty());
  Roster.put(factsOf("renewed"));
  CHECK(Roster.removeDue(Start + milliseconds(2000)) ==
        std::vector{endpoint_id("lapsed")});
  CHECK(Roster.find(endpoint_id("renewed")));
}
