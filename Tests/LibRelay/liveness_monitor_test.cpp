#include "LibRelay/liveness_monitor.h"

#include "LibRelay/engine_inspection.h"
#include "plain_codec.h"
#include "test_fleet.h"

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

/// Its inspections end when the test says so.
struct held_inspector : engine_inspector {
  void inspect(const endpoint_descriptor &,
               std::function<void(result<engine_report>)> NewHandler) override {
    ++Count;
    Handler = std::move(NewHandler);
  }
  void fail() {
    std::exchange(Handler,
                  nullptr)(error{error_code::OutcomeUnknown, "timed out"});
  }
  int Count = 0;
  std::function<void(result<engine_report>)> Handler;
};

/// A monitor of one engine. Only the test lets time pass.
struct monitor_fixture {
  monitor_fixture() {
    endpoint_descriptor Descriptor;
    Descriptor.Id = endpoint_id("e0");
    Descriptor.Service = service_id("s");
    Fleet.Endpoints.put(Descriptor);
    Endpoint = Fleet.Endpoints.find(Descriptor.Id);
    Monitor = std::make_shared<liveness_monitor>(
        Context, Endpoint, request_id("r1"), std::nullopt,
        [this](const std::string &) { ++Reports; });
    Monitor->start();
  }
  ~monitor_fixture() { Monitor->stop(); }
  /// The next check runs at this time after the one before.
  void checkAfter(milliseconds Time) {
    Clock.Now += Time;
    Loop.run_one();
  }

  asio::io_context Loop{1};
  test_clock Clock;
  plain_codec Codec;
  null_event_log Log;
  metrics Metrics;
  fleet_state Fleet = testFleet();
  connection_pool Connections{Loop.get_executor(), connection_timeouts{}};
  held_inspector Inspector;
  relay_context Context{
      Loop.get_executor(), Clock,     Codec, Log, Metrics, Fleet,
      Connections,         &Inspector};
  std::shared_ptr<endpoint_record> Endpoint;
  std::shared_ptr<liveness_monitor> Monitor;
  int Reports = 0;
};

constexpr milliseconds CheckInterval{150};

} // namespace

TEST_CASE("A check that runs late judges only after what has arrived was "
          "read") {
  monitor_fixture Fixture;
  Fixture.checkAfter(milliseconds(3000));
  CHECK(Fixture.Inspector.Count == 0);
  Fixture.Monitor->onProgress(Fixture.Clock.Now);
  Fixture.checkAfter(CheckInterval);
  CHECK(Fixture.Inspector.Count == 0);
  for (int Check = 0; Check < 5; ++Check)
    Fixture.checkAfter(CheckInterval);
  CHECK(Fixture.Inspector.Count == 1);
}

TEST_CASE("Checks that are always late are put off once only") {
  monitor_fixture Fixture;
  Fixture.checkAfter(milliseconds(1000));
  Fixture.checkAfter(milliseconds(1000));
  CHECK(Fixture.Inspector.Count == 1);
}

TEST_CASE("An inspection that ends long after its time limit, as this process "
          "stood still, is not counted as failed") {
  monitor_fixture Fixture;
  const auto FailAfter = [&](milliseconds Time) {
    inspectEngine(Fixture.Context, Fixture.Endpoint, request_id("r1"));
    Fixture.Clock.Now += Time;
    Fixture.Inspector.fail();
  };
  FailAfter(milliseconds(2000));
  CHECK(Fixture.Endpoint->FailedInspections == 0);
  FailAfter(InspectionTimeout);
  FailAfter(InspectionTimeout);
  CHECK(Fixture.Endpoint->FailedInspections == 2);
  // Bytes come in between.
  Fixture.Endpoint->LastReceivedAt = Fixture.Clock.Now + milliseconds(1);
  FailAfter(InspectionTimeout);
  CHECK(Fixture.Endpoint->FailedInspections == 1);
}

TEST_CASE("An engine whose inspections fail is reported as unresponsive") {
  monitor_fixture Fixture;
  while (Fixture.Inspector.Count == 0)
    Fixture.checkAfter(CheckInterval);
  Fixture.Clock.Now += InspectionTimeout - CheckInterval;
  Fixture.Inspector.fail();
  CHECK(Fixture.Reports == 0);
  while (Fixture.Inspector.Count == 1)
    Fixture.checkAfter(CheckInterval);
  Fixture.Clock.Now += InspectionTimeout - CheckInterval;
  Fixture.Inspector.fail();
  CHECK(Fixture.Reports == 1);
}
