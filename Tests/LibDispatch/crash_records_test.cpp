#include "LibDispatch/crash_records.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

endpoint_id endpoint(unsigned Number) {
  return endpoint_id("e/" + std::to_string(Number));
}

crash_record record(std::uint64_t Fingerprint, unsigned Endpoint,
                    crash_refutation Refutation = crash_refutation::None) {
  return {Fingerprint, endpoint(Endpoint), Start, Refutation};
}

} // namespace

TEST_CASE(
    "VMs that get the same crash records in any order, some twice, agree") {
  for (unsigned Seed = 0; Seed < 20; ++Seed) {
    std::mt19937 Random(Seed);
    std::vector<crash_record> Records;
    for (unsigned Count = 0; Count < 60; ++Count)
      Records.push_back(record(Random() % 5, Random() % 8,
                               static_cast<crash_refutation>(Random() % 3)));
    crash_records Ordered;
    for (const crash_record &Record : Records)
      Ordered.merge(Record, Start);
    std::vector<crash_record> Shuffled = Records;
    Shuffled.insert(Shuffled.end(), Records.begin(), Records.begin() + 20);
    std::shuffle(Shuffled.begin(), Shuffled.end(), Random);
    crash_records Other;
    for (const crash_record &Record : Shuffled)
      Other.merge(Record, Start);
    CHECK(Ordered.digest() == Other.digest());
    CHECK(Ordered.size() == Other.size());
    for (std::uint64_t Fingerprint = 0; Fingerprint < 5; ++Fingerprint)
      CHECK(Ordered.endpointCount(Fingerprint) ==
            Other.endpointCount(Fingerprint));
  }
}

TEST_CASE("VMs that lack a record or its refutation have another digest") {
  crash_records Here;
  crash_records There;
  Here.merge(record(1, 1), Start);
  CHECK(Here.digest() != There.digest());
  There.merge(record(1, 1), Start);
  CHECK(Here.digest() == There.digest());
  Here.merge(record(1, 1, crash_refutation::EndpointAlive), Start);
  CHECK(Here.digest() != There.digest());
}

TEST_CASE("A refuted crash does not count again when an old notice arrives") {
  crash_records Records;
  Records.add(record(1, 1), Start);
  CHECK(Records.endpointCount(1) == 1);
  CHECK(Records.refuteFingerprint(1));
  CHECK(Records.endpointCount(1) == 0);
  CHECK_FALSE(Records.merge(record(1, 1), Start));
  CHECK(Records.endpointCount(1) == 0);
  Records.add(record(1, 2), Start);
  CHECK(Records.endpointCount(1) == 1);
}

TEST_CASE("A process start that is alive refutes its crashes only") {
  crash_records Records;
  for (const unsigned Endpoint : {1, 2})
    for (const std::uint64_t Fingerprint : {1, 2})
      Records.add(record(Fingerprint, Endpoint), Start);
  CHECK(Records.refuteEndpoint(endpoint(1)));
  CHECK_FALSE(Records.refuteEndpoint(endpoint(1)));
  CHECK(Records.endpointCount(1) == 1);
  CHECK(Records.endpointCount(2) == 1);
}

TEST_CASE("Only what this VM has observed since the last time is news") {
  crash_records Records;
  Records.merge(record(1, 1), Start);
  Records.add(record(1, 2), Start);
  CHECK(Records.takeNews().size() == 1);
  CHECK(Records.takeNews().empty());
  Records.add(record(1, 2), Start);
  CHECK(Records.takeNews().empty());
  Records.refuteFingerprint(1);
  CHECK(Records.takeNews().size() == 2);
}

TEST_CASE("Old crashes are dropped and not taken over again") {
  crash_records Records;
  Records.add(record(1, 1), Start);
  const steady_time Late = Start + std::chrono::minutes(11);
  Records.expire(Late);
  CHECK(Records.size() == 0);
  CHECK(Records.digest() == crash_records().digest());
  CHECK_FALSE(Records.merge(record(1, 1), Late));
}

TEST_CASE("Crashes without end use no more memory, and the latest count") {
  crash_records Records;
  for (unsigned Number = 0; Number < 2 * crash_records::MaximumRecords;
       ++Number) {
    const steady_time Now = Start + milliseconds(Number);
    Records.add({Number, endpoint(1), Now}, Now);
  }
  CHECK(Records.size() == crash_records::MaximumRecords);
  CHECK(Records.endpointCount(2 * crash_records::MaximumRecords - 1) == 1);
  CHECK(Records.endpointCount(0) == 0);
}
