#include "LibRouting/router.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

/// One router with one engine that serves three versions, two of which the
/// account may use.
struct fixture {
  configuration Configuration;
  client_account Account;
  work_class Class;
  router Router{vm_id("a"), 1, 1, {}};

  fixture() {
    Class.Id = class_id("c");
    Class.FirstTokenTarget = milliseconds(1000);
    Account.Id = client_account_id("x");
    Account.AllowedModels = {model_id("m")};
    for (const char *Id : {"m@1", "m@2", "other@1"}) {
      const std::string Text = Id;
      Configuration.Versions[version_id(Text)] = {
          version_id(Text), model_id(Text.substr(0, Text.find('@'))),
          micro_euros(10), micro_euros(10), version_state::Active};
    }
    listed_vm ListedVm;
    ListedVm.Vm = vm_id("e0");
    ListedVm.Kind = vm_kind::Engine;
    ListedVm.Address = {"127.0.0.1", 1};
    Router.applyList({ListedVm}, 1);
    Router.updateEndpointReport(
        endpoint_id("e0"),
        {{version_id("m@1"), version_id("m@2"), version_id("other@1")},
         8,
         0,
         false,
         "boot"},
        Start);
  }

  std::variant<route_plan, routing_refusal>
  plan(std::optional<version_id> Pinned = std::nullopt,
       std::uint64_t Fingerprint = 1) {
    routing_request Request;
    Request.Configuration = &Configuration;
    Request.Account = &Account;
    Request.Class = &Class;
    Request.PinnedVersion = std::move(Pinned);
    Request.Fingerprint = Fingerprint;
    return Router.plan(Request, Start, nullptr);
  }

  void setState(const char *Id, version_state State) {
    Configuration.Versions.at(version_id(Id)).State = State;
  }
};

refusal_reason reasonOf(const std::variant<route_plan, routing_refusal> &Plan) {
  REQUIRE(std::holds_alternative<routing_refusal>(Plan));
  return std::get<routing_refusal>(Plan).Reason;
}

} // namespace

TEST_CASE_FIXTURE(fixture, "plans contain only allowed versions") {
  for (int Round = 0; Round < 500; ++Round) {
    const auto Planned = plan();
    for (const auto &Stage : std::get<route_plan>(Planned).Stages)
      CHECK(Stage.Version != version_id("other@1"));
  }
  Account.AllowedModels.clear();
  CHECK(reasonOf(plan()) == refusal_reason::NoAllowedVersion);
}

TEST_CASE_FIXTURE(fixture,
                  "a session's request is planned on its version or refused") {
  for (int Round = 0; Round < 100; ++Round)
    CHECK(std::get<route_plan>(plan(version_id("m@2"))).Stages.at(0).Version ==
          version_id("m@2"));
  setState("m@2", version_state::Paused);
  CHECK(std::holds_alternative<route_plan>(plan(version_id("m@2"))));
  setState("m@2", version_state::Withdrawn);
  CHECK(reasonOf(plan(version_id("m@2"))) == refusal_reason::VersionWithdrawn);
  CHECK(reasonOf(plan(version_id("other@1"))) ==
        refusal_reason::VersionWithdrawn);
}

TEST_CASE_FIXTURE(fixture,
                  "a fingerprint is refused after crashes of two endpoints") {
  Router.addCrash({1, endpoint_id("e7")}, Start);
  CHECK(Router.crashStatusOf(1) == crash_status::Suspect);
  CHECK(std::holds_alternative<route_plan>(plan()));
  Router.addCrash({1, endpoint_id("e7")}, Start);
  CHECK(Router.crashStatusOf(1) == crash_status::Suspect);
  Router.addCrash({1, endpoint_id("e8")}, Start);
  CHECK(reasonOf(plan()) == refusal_reason::CrashCausing);
  CHECK(std::holds_alternative<route_plan>(plan(std::nullopt, 2)));
}

TEST_CASE_FIXTURE(fixture,
                  "a version with an alarm immediately gets no new requests") {
  for (int Round = 0; Round < 200; ++Round) {
    const bool WasGood = Round < 100;
    for (int Count = 0; Count < 5; ++Count)
      Router.addRating({version_id("m@1"), Class.Id}, answer_role::Direct, 1,
                       WasGood ? 1 : 0);
    (void)Router.evaluateHealth();
  }
  for (int Round = 0; Round < 200; ++Round)
    CHECK(std::get<route_plan>(plan()).Stages.back().Version ==
          version_id("m@2"));
}

TEST_CASE("retries are bounded by a share of the requests") {
  const steady_time Now{std::chrono::hours(1)};
  retry_budget Budget;
  const client_account_id Account("x");
  int Taken = 0;
  for (int Count = 0; Count < 1000; ++Count) {
    Budget.countRequest(Account, Now);
    while (Budget.tryTake(Account, Now))
      ++Taken;
  }
  CHECK(Taken <= 1000 * 2 / 10 + 10);
  CHECK(Taken >= 1000 / 10);
}

TEST_CASE("processes that start in series add no more than the retries of one "
          "request each") {
  steady_time Now{std::chrono::hours(1)};
  const client_account_id Account("x");
  constexpr int Starts = 20;
  constexpr int RequestsEach = 10;
  int Taken = 0;
  for (int Start = 0; Start < Starts; ++Start) {
    retry_budget Budget;
    for (int Count = 0; Count < RequestsEach; ++Count) {
      Now += milliseconds(50);
      Budget.countRequest(Account, Now);
      while (Budget.tryTake(Account, Now))
        ++Taken;
    }
  }
  constexpr int RetriesPerStart = 2;
  // Ten seconds in all, with one retry a second for an account.
  CHECK(Taken <=
        Starts * RequestsEach * 2 / 10 + 10 + Starts * RetriesPerStart);
}
