#include "LibRouting/admission_control.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const version_id Version("m@1");
const client_account_id Left("left");
const client_account_id Busy("busy");

/// Without endpoints, one request of the version is admitted at a time.
struct fixture {
  endpoint_table Endpoints{1};
  admission_control Admission{Endpoints};

  admission_ticket queue(const client_account_id &Account, steady_time Now) {
    auto Result = Admission.admit(
        Version, {Account, 1, 5, Now + std::chrono::seconds(10)}, Now);
    REQUIRE(std::holds_alternative<queued>(Result));
    return std::get<queued>(Result).Ticket;
  }
  admission_ticket occupy() {
    auto Result = Admission.admit(
        Version,
        {client_account_id("running"), 1, 5, Start + std::chrono::seconds(10)},
        Start);
    return std::get<admitted>(Result).Ticket;
  }
  /// The ticket that is admitted once the running request ends.
  admission_ticket nextAfter(admission_ticket Running, steady_time Now) {
    const auto Progress =
        Admission.release(Version, Running, milliseconds(100), Now);
    REQUIRE(Progress.Admitted.size() == 1);
    return Progress.Admitted[0];
  }
};

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "An account that a peer reports no more has no usage "
                  "there") {
  const auto Running = occupy();
  Admission.setPeerUsage(vm_id("b"), {{Left, 5}}, Start);
  (void)Admission.advance(Start);
  Admission.setPeerUsage(vm_id("b"), {{Busy, 1}}, Start);
  (void)queue(Busy, Start);
  const auto Expected = queue(Left, Start);
  CHECK(nextAfter(Running, Start) == Expected);
}

TEST_CASE_FIXTURE(fixture, "Usage that a peer reported long ago has expired") {
  const auto Running = occupy();
  Admission.setPeerUsage(vm_id("b"), {{Left, 5}}, Start);
  (void)Admission.advance(Start);
  const steady_time Later = Start + std::chrono::seconds(4);
  Admission.setPeerUsage(vm_id("c"), {{Busy, 1}}, Later);
  (void)queue(Busy, Later);
  const auto Expected = queue(Left, Later);
  CHECK(nextAfter(Running, Later) == Expected);
}
