#include "LibControl/configuration_currency.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const std::set<vm_id> Roster = {vm_id("a"), vm_id("b"), vm_id("c"), vm_id("d"),
                                vm_id("e")};

heartbeat answerWith(std::uint64_t Version, bool MayVouch = true) {
  heartbeat Answer;
  Answer.Kind = heartbeat_kind::Answer;
  Answer.ConfigVersion = Version;
  Answer.MayVouch = MayVouch;
  return Answer;
}

} // namespace

TEST_CASE("a VM is current for a while after the store's word") {
  configuration_currency Currency(vm_id("a"));
  CHECK_FALSE(Currency.isCurrent(3, Roster, Start));
  Currency.storeConfirmed(3, Start);
  CHECK(Currency.isCurrent(3, Roster, Start + ConfirmationLifetime));
  CHECK_FALSE(Currency.isCurrent(
      3, Roster, Start + ConfirmationLifetime + milliseconds(1)));
}

TEST_CASE("a newer version in the store makes an old holder not current") {
  configuration_currency Currency(vm_id("a"));
  Currency.storeConfirmed(4, Start);
  CHECK_FALSE(Currency.isCurrent(3, Roster, Start));
  CHECK(Currency.isCurrent(4, Roster, Start));
}

TEST_CASE("the store's word travels on with its age") {
  configuration_currency Currency(vm_id("a"));
  heartbeat Answer = answerWith(3);
  Answer.ConfirmationAge = milliseconds(1000);
  Answer.ConfirmedVersion = 3;
  Currency.peerAnswered(vm_id("b"), Answer, Start);
  CHECK(Currency.isCurrent(3, {}, Start + milliseconds(2000)));
  CHECK_FALSE(Currency.isCurrent(3, {}, Start + milliseconds(2001)));
}

TEST_CASE("a majority of the roster vouches when the store is away") {
  configuration_currency Currency(vm_id("a"));
  Currency.storeConfirmed(3, Start);
  CHECK(Currency.isCurrent(3, Roster, Start));
  const steady_time Later = Start + std::chrono::minutes(10);
  Currency.peerAnswered(vm_id("b"), answerWith(3), Later);
  CHECK_FALSE(Currency.isCurrent(3, Roster, Later));
  SUBCASE("with a second peer") {
    Currency.peerAnswered(vm_id("c"), answerWith(2), Later);
    CHECK(Currency.isCurrent(3, Roster, Later));
    CHECK_FALSE(Currency.isCurrent(
        3, Roster, Later + ConfirmationLifetime + milliseconds(1)));
  }
  SUBCASE("but not with a peer that knows a newer version") {
    Currency.peerAnswered(vm_id("c"), answerWith(4), Later);
    CHECK_FALSE(Currency.isCurrent(3, Roster, Later));
  }
  SUBCASE("nor with one outside the roster") {
    Currency.peerAnswered(vm_id("z"), answerWith(3), Later);
    CHECK_FALSE(Currency.isCurrent(3, Roster, Later));
  }
  SUBCASE("nor with one that restarted and has forgotten") {
    Currency.peerAnswered(vm_id("c"), answerWith(0, false), Later);
    CHECK_FALSE(Currency.isCurrent(3, Roster, Later));
  }
}

TEST_CASE("a restarted VM needs a majority of the others, itself not counted") {
  configuration_currency Currency(vm_id("a"));
  Currency.peerAnswered(vm_id("b"), answerWith(3), Start);
  Currency.peerAnswered(vm_id("c"), answerWith(3), Start);
  CHECK_FALSE(Currency.isCurrent(3, Roster, Start));
  CHECK_FALSE(Currency.mayVouch());
  Currency.peerAnswered(vm_id("d"), answerWith(3), Start);
  CHECK(Currency.isCurrent(3, Roster, Start));
  CHECK(Currency.mayVouch());
}

TEST_CASE("a VM that only heard of a confirmed version may not vouch") {
  configuration_currency Currency(vm_id("a"));
  heartbeat Answer = answerWith(5);
  Answer.ConfirmationAge = milliseconds(10);
  Answer.ConfirmedVersion = 5;
  Currency.peerAnswered(vm_id("b"), Answer, Start);
  // It restarted, holds nothing, and has forgotten what it had accepted.
  CHECK_FALSE(Currency.isCurrent(0, Roster, Start));
  CHECK_FALSE(Currency.mayVouch());
  CHECK(Currency.isCurrent(5, Roster, Start));
  CHECK(Currency.mayVouch());
}

TEST_CASE("a change is held once a majority has it or a later one") {
  configuration_currency Currency(vm_id("a"));
  CHECK_FALSE(Currency.isHeldByMajority(5, Roster, Start));
  Currency.peerAnswered(vm_id("b"), answerWith(5), Start);
  Currency.peerAnswered(vm_id("c"), answerWith(4), Start);
  CHECK_FALSE(Currency.isHeldByMajority(5, Roster, Start));
  Currency.peerAnswered(vm_id("d"), answerWith(6), Start);
  CHECK(Currency.isHeldByMajority(5, Roster, Start));
}
