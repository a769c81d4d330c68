#include "LibFleet/fleet_members.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

member_entry entryOf(const std::string &Vm) {
  return {vm_id(Vm),
          failure_domain_id("a"),
          {"127.0.0.1", 80},
          {"127.0.0.1", 81},
          1};
}

} // namespace

TEST_CASE("Exactly one member is preferred for a task") {
  fleet_members Members;
  for (int Index = 0; Index < 5; ++Index)
    Members.put(entryOf("vm-" + std::to_string(Index)));
  int PreferredCount = 0;
  for (const auto &Member : Members.all())
    PreferredCount += Members.isPreferredFor("work", Member.Vm);
  CHECK(PreferredCount == 1);
}

TEST_CASE("A member is removed when due unless it is registered again") {
  fleet_members Members;
  Members.put(entryOf("vm-1"));
  Members.put(entryOf("vm-2"));
  Members.scheduleRemoval(vm_id("vm-1"), Start);
  Members.scheduleRemoval(vm_id("vm-2"), Start);
  Members.put(entryOf("vm-2"));
  Members.removeExpired(Start);
  CHECK(Members.size() == 1);
  CHECK(Members.find(vm_id("vm-2")));
}
