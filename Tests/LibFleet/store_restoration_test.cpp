#include "LibFleet/store_restoration.h"

#include "LibFleet/departed_entries.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const store_era First{0};
const store_era Second{1};

} // namespace

TEST_CASE("Nothing is doubtful in a store that was never restored") {
  const store_restoration Restoration;
  CHECK_FALSE(Restoration.mayComeFromCopy({First, 1}));
  CHECK(Restoration.isSettled(Start));
  CHECK(Restoration.isConfigurationCurrent(Start));
}

TEST_CASE("Items of the new era are told from those of the copy") {
  store_restoration Restoration;
  Restoration.onRestored({Second, 100}, Start);
  CHECK(Restoration.mayComeFromCopy({Second, 100}));
  CHECK_FALSE(Restoration.mayComeFromCopy({Second, 101}));
}

TEST_CASE("A confirmation counts once all writers could repeat their writes") {
  store_restoration Restoration;
  Restoration.onRestored({Second, 100}, Start);
  CHECK_FALSE(Restoration.isConfigurationCurrent(Start));
  CHECK_FALSE(Restoration.isConfigurationCurrent(Start + milliseconds(1999)));
  CHECK(Restoration.isConfigurationCurrent(Start + milliseconds(2000)));
}

TEST_CASE("A confirmation counts at once after the operators' own write") {
  store_restoration Restoration;
  Restoration.onRestored({Second, 100}, Start);
  Restoration.onConfigurationWritten();
  CHECK(Restoration.isConfigurationCurrent(Start));
  // Entries of endpoints and VMs remain doubtful.
  CHECK_FALSE(Restoration.isSettled(Start));
  Restoration.onRestored({store_era{2}, 90}, Start);
  CHECK_FALSE(Restoration.isConfigurationCurrent(Start));
}

TEST_CASE("A process that has just started can't tell a copy from the newest "
          "configuration, whatever the operators write") {
  store_restoration Restoration;
  Restoration.onFirstRead(Start);
  Restoration.onConfigurationWritten();
  CHECK_FALSE(Restoration.isConfigurationCurrent(Start + milliseconds(1999)));
  CHECK(Restoration.isConfigurationCurrent(Start + milliseconds(2000)));
  // Its entries are used at once, as there is nothing else to go by.
  CHECK(Restoration.isSettled(Start));
  CHECK_FALSE(Restoration.mayComeFromCopy({First, 1}));
}

TEST_CASE("A departure covers a process start and those before it") {
  departed_entries Departed;
  Departed.add("e", 7, Start);
  CHECK(Departed.contains("e", 7));
  CHECK(Departed.contains("e", 6));
  CHECK_FALSE(Departed.contains("e", 8));
  CHECK_FALSE(Departed.contains("f", 7));
  Departed.expire(Start + std::chrono::seconds(59));
  CHECK(Departed.contains("e", 7));
  Departed.expire(Start + std::chrono::seconds(60));
  CHECK_FALSE(Departed.contains("e", 7));
}
