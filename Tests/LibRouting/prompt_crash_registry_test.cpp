#include "LibRouting/prompt_crash_registry.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const std::vector<segment_key> Sound{1};
const std::vector<segment_key> Bad{1, 99};

void crash(prompt_crash_registry &Registry, const char *Engine,
           const char *BootId) {
  Registry.addCrash(Bad, endpoint_id(Engine), BootId, Start);
}

/// Sends one heartbeat.
heartbeat deliver(prompt_crash_registry &From, prompt_crash_registry &To) {
  heartbeat Message;
  From.takeNotices(Message, Start);
  To.mergeNotices(Message, Start);
  return Message;
}

} // namespace

TEST_CASE("A message under which three process starts crash is refused on all "
          "VMs") {
  prompt_crash_registry Here;
  prompt_crash_registry There;
  Here.clear(Sound, Start);
  crash(Here, "e1", "boot-1");
  crash(Here, "e1", "boot-1");
  crash(Here, "e1", "boot-2");
  CHECK_FALSE(Here.isQuarantined(Bad));
  crash(There, "e2", "boot-1");
  deliver(Here, There);
  deliver(There, Here);
  for (const prompt_crash_registry *Vm : {&Here, &There}) {
    CHECK(Vm->isQuarantined(Bad));
    CHECK(Vm->quarantinedCount() == 1);
  }
  CHECK_FALSE(Here.isQuarantined(Sound));
}

TEST_CASE("A crash is told to the other VMs once") {
  prompt_crash_registry Here;
  prompt_crash_registry There;
  crash(Here, "e1", "boot-1");
  CHECK(deliver(Here, There).SegmentCrashes.size() == Bad.size());
  CHECK(deliver(Here, There).SegmentCrashes.empty());
}

TEST_CASE("A response that makes progress clears its messages on all VMs") {
  prompt_crash_registry Here;
  prompt_crash_registry There;
  for (const char *BootId : {"1", "2", "3"})
    crash(Here, "e1", BootId);
  deliver(Here, There);
  There.clear(Bad, Start);
  deliver(There, Here);
  CHECK_FALSE(Here.isQuarantined(Bad));
  CHECK_FALSE(There.isQuarantined(Bad));
}
