#include "LibControl/configuration_freshness.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const std::set<vm_id> Roster = {vm_id("a"), vm_id("b"), vm_id("c"), vm_id("d"),
                                vm_id("e")};

heartbeat makeResponse(std::uint64_t Version, bool MayVote = true) {
  heartbeat Response;
  Response.Kind = heartbeat_kind::Response;
  Response.ConfigVersion = Version;
  Response.MayVote = MayVote;
  return Response;
}

} // namespace

TEST_CASE("a store confirmation keeps a VM current for its lifetime") {
  configuration_freshness Freshness(vm_id("a"));
  CHECK_FALSE(Freshness.isCurrent(3, Roster, Start));
  Freshness.recordStoreConfirmation(3, Start);
  CHECK(Freshness.isCurrent(3, Roster, Start + ConfirmationLifetime));
  CHECK_FALSE(Freshness.isCurrent(
      3, Roster, Start + ConfirmationLifetime + milliseconds(1)));
}

TEST_CASE("a VM is not current when the store has a newer version") {
  configuration_freshness Freshness(vm_id("a"));
  Freshness.recordStoreConfirmation(4, Start);
  CHECK_FALSE(Freshness.isCurrent(3, Roster, Start));
  CHECK(Freshness.isCurrent(4, Roster, Start));
}

TEST_CASE("a store confirmation forwarded by a peer keeps its age") {
  configuration_freshness Freshness(vm_id("a"));
  heartbeat Response = makeResponse(3);
  Response.ConfirmationAge = milliseconds(1000);
  Response.ConfirmedVersion = 3;
  Freshness.recordPeerResponse(vm_id("b"), Response, Start);
  CHECK(Freshness.isCurrent(3, {}, Start + milliseconds(2000)));
  CHECK_FALSE(Freshness.isCurrent(3, {}, Start + milliseconds(2001)));
}

TEST_CASE("a majority of the roster suffices when the store is unavailable") {
  configuration_freshness Freshness(vm_id("a"));
  Freshness.recordStoreConfirmation(3, Start);
  CHECK(Freshness.isCurrent(3, Roster, Start));
  const steady_time Later = Start + std::chrono::minutes(10);
  Freshness.recordPeerResponse(vm_id("b"), makeResponse(3), Later);
  CHECK_FALSE(Freshness.isCurrent(3, Roster, Later));
  SUBCASE("with a second peer") {
    Freshness.recordPeerResponse(vm_id("c"), makeResponse(2), Later);
    CHECK(Freshness.isCurrent(3, Roster, Later));
    CHECK_FALSE(Freshness.isCurrent(
        3, Roster, Later + ConfirmationLifetime + milliseconds(1)));
  }
  SUBCASE("but not with a peer that holds a newer version") {
    Freshness.recordPeerResponse(vm_id("c"), makeResponse(4), Later);
    CHECK_FALSE(Freshness.isCurrent(3, Roster, Later));
  }
  SUBCASE("nor with one outside the roster") {
    Freshness.recordPeerResponse(vm_id("z"), makeResponse(3), Later);
    CHECK_FALSE(Freshness.isCurrent(3, Roster, Later));
  }
  SUBCASE("nor with one that restarted and has not recovered") {
    Freshness.recordPeerResponse(vm_id("c"), makeResponse(0, false), Later);
    CHECK_FALSE(Freshness.isCurrent(3, Roster, Later));
  }
}

TEST_CASE("a restarted VM needs a majority of the others, itself not counted") {
  configuration_freshness Freshness(vm_id("a"));
  Freshness.recordPeerResponse(vm_id("b"), makeResponse(3), Start);
  Freshness.recordPeerResponse(vm_id("c"), makeResponse(3), Start);
  CHECK_FALSE(Freshness.isCurrent(3, Roster, Start));
  CHECK_FALSE(Freshness.mayVote());
  Freshness.recordPeerResponse(vm_id("d"), makeResponse(3), Start);
  CHECK(Freshness.isCurrent(3, Roster, Start));
  CHECK(Freshness.mayVote());
}

TEST_CASE("a VM that does not hold the confirmed version may not vote") {
  configuration_freshness Freshness(vm_id("a"));
  heartbeat Response = makeResponse(5);
  Response.ConfirmationAge = milliseconds(10);
  Response.ConfirmedVersion = 5;
  Freshness.recordPeerResponse(vm_id("b"), Response, Start);
  // The VM restarted and lost the configuration that it had accepted.
  CHECK_FALSE(Freshness.isCurrent(0, Roster, Start));
  CHECK_FALSE(Freshness.mayVote());
  CHECK(Freshness.isCurrent(5, Roster, Start));
  CHECK(Freshness.mayVote());
}

TEST_CASE("a change is held by a majority that has it or a later one") {
  configuration_freshness Freshness(vm_id("a"));
  CHECK_FALSE(Freshness.isHeldByMajority(5, Roster, Start));
  Freshness.recordPeerResponse(vm_id("b"), makeResponse(5), Start);
  Freshness.recordPeerResponse(vm_id("c"), makeResponse(4), Start);
  CHECK_FALSE(Freshness.isHeldByMajority(5, Roster, Start));
  Freshness.recordPeerResponse(vm_id("d"), makeResponse(6), Start);
  CHECK(Freshness.isHeldByMajority(5, Roster, Start));
}
