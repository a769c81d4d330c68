#include "LibPeer/frame_codec.h"

#include <previous_peer_generated.h>

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

namespace previous = azurehaven::previous_wire;

/// A notice as the build of the landing before encodes it.
std::string previousNotice() {
  flatbuffers::FlatBufferBuilder Builder;
  const std::vector<flatbuffers::Offset<previous::SessionSighting>> Sightings{
      previous::CreateSessionSightingDirect(Builder, 9, "v2")};
  const std::vector<flatbuffers::Offset<previous::ReleaseCounts>> Releases{
      previous::CreateReleaseCountsDirect(Builder, "s", "v2", "r", 4, 1, 2, 7)};
  const auto Notice =
      previous::CreateFleetNoticeDirect(Builder, &Releases, &Sightings);
  const auto Sender = Builder.CreateString("vm-1");
  Builder.Finish(previous::CreateFrame(
      Builder, Sender, 3, previous::Body_FleetNotice, Notice.Union()));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

fleet_notice noticeWithRollout() {
  fleet_notice Notice;
  Notice.SessionReleases = {{9, "v2", milliseconds(1200)}};
  Notice.Releases = {{service_id("s"), "v2", "r", 4, 1, 2, 7}};
  rollout_notice Rollout;
  Rollout.Service = service_id("s");
  Rollout.Target = "v2";
  Rollout.OrderNumber = 17;
  Rollout.Elapsed = milliseconds(4200);
  Rollout.IsElapsedEstimated = true;
  Rollout.TrialShare = 0.25;
  Rollout.RouteShares = {{"r", 0.5}};
  Rollout.ShiftStart = milliseconds(9000);
  Rollout.IsRejected = true;
  Rollout.Result = rollout_result::RolledBack;
  Notice.Rollouts = {Rollout};
  return Notice;
}

} // namespace

TEST_CASE("A notice of the build before is understood") {
  const auto Decoded = decodeFrame(previousNotice());
  REQUIRE_FALSE(isError(Decoded));
  const auto &Notice = std::get<fleet_notice>(valueOf(Decoded).Message);
  REQUIRE(Notice.SessionReleases.size() == 1);
  CHECK(Notice.SessionReleases.front().Session == 9);
  CHECK(Notice.SessionReleases.front().Release == "v2");
  CHECK(Notice.SessionReleases.front().Age == milliseconds(0));
  REQUIRE(Notice.Releases.size() == 1);
  CHECK(Notice.Releases.front().Attempts == 7);
  CHECK(Notice.Rollouts.empty());
}

TEST_CASE("The build before understands a notice with roll-outs") {
  const std::string Bytes =
      encodeFrame({vm_id("vm-1"), 3, noticeWithRollout()});
  flatbuffers::Verifier Verifier(
      reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size());
  REQUIRE(previous::VerifyFrameBuffer(Verifier));
  const auto *Notice = previous::GetFrame(Bytes.data())->body_as_FleetNotice();
  REQUIRE(Notice);
  REQUIRE(Notice->sightings()->size() == 1);
  CHECK(Notice->sightings()->Get(0)->session() == 9);
  CHECK(Notice->sightings()->Get(0)->release()->str() == "v2");
  CHECK(Notice->releases()->Get(0)->attempts() == 7);
}

TEST_CASE("A roll-out is decoded as it was encoded") {
  const auto Decoded =
      decodeFrame(encodeFrame({vm_id("vm-1"), 3, noticeWithRollout()}));
  REQUIRE_FALSE(isError(Decoded));
  const auto &Notice = std::get<fleet_notice>(valueOf(Decoded).Message);
  CHECK(Notice.SessionReleases.front().Age == milliseconds(1200));
  REQUIRE(Notice.Rollouts.size() == 1);
  const rollout_notice &Rollout = Notice.Rollouts.front();
  CHECK(Rollout.OrderNumber == 17);
  CHECK(Rollout.Elapsed == milliseconds(4200));
  CHECK(Rollout.IsElapsedEstimated);
  CHECK(Rollout.TrialShare == 0.25);
  CHECK(Rollout.RouteShares.at(0).Share == 0.5);
  CHECK(Rollout.ShiftStart == milliseconds(9000));
  CHECK(Rollout.IsRejected);
  CHECK(Rollout.Result == rollout_result::RolledBack);
}

TEST_CASE("A roll-out with a share that can't be is left out") {
  fleet_notice Notice = noticeWithRollout();
  Notice.Rollouts.front().TrialShare = 1.5;
  const auto Decoded = decodeFrame(encodeFrame({vm_id("vm-1"), 3, Notice}));
  REQUIRE_FALSE(isError(Decoded));
  CHECK(std::get<fleet_notice>(valueOf(Decoded).Message).Rollouts.empty());
}

namespace {

fleet_notice noticeWithCrashes() {
  fleet_notice Notice;
  Notice.Crashes = {{7, endpoint_id("e/1")}};
  Notice.SegmentCrashes = {{8, endpoint_id("e/1")}};
  Notice.CrashRecords = {
      {crash_cause::Request, 7, endpoint_id("e/1"), milliseconds(300), 0},
      {crash_cause::PromptSegment, 8, endpoint_id("e/1"), milliseconds(40), 2}};
  Notice.CrashDigest = {11, 12};
  Notice.WantsCrashRecords = true;
  return Notice;
}

} // namespace

TEST_CASE("The build before reads the crashes in a notice with crash records") {
  const std::string Bytes =
      encodeFrame({vm_id("vm-1"), 3, noticeWithCrashes()});
  flatbuffers::Verifier Verifier(
      reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size());
  REQUIRE(previous::VerifyFrameBuffer(Verifier));
  const auto *Notice = previous::GetFrame(Bytes.data())->body_as_FleetNotice();
  REQUIRE(Notice);
  REQUIRE(Notice->crashes()->size() == 1);
  CHECK(Notice->crashes()->Get(0)->fingerprint() == 7);
  CHECK(Notice->crashes()->Get(0)->endpoint()->str() == "e/1");
  CHECK(Notice->segment_crashes()->Get(0)->fingerprint() == 8);
}

TEST_CASE("Crash records are decoded as they were encoded") {
  const auto Decoded =
      decodeFrame(encodeFrame({vm_id("vm-1"), 3, noticeWithCrashes()}));
  REQUIRE_FALSE(isError(Decoded));
  const auto &Notice = std::get<fleet_notice>(valueOf(Decoded).Message);
  CHECK(Notice.CrashDigest == crash_digest_notice{11, 12});
  CHECK(Notice.WantsCrashRecords);
  REQUIRE(Notice.CrashRecords.size() == 2);
  const crash_record_notice &Segment = Notice.CrashRecords.at(1);
  CHECK(Segment.Cause == crash_cause::PromptSegment);
  CHECK(Segment.Fingerprint == 8);
  CHECK(Segment.Endpoint == endpoint_id("e/1"));
  CHECK(Segment.Age == milliseconds(40));
  CHECK(Segment.Refutation == 2);
  CHECK(Notice.CrashRecords.at(0).Cause == crash_cause::Request);
}

TEST_CASE("A notice of the build before has no digest of crash records") {
  const auto Decoded = decodeFrame(previousNotice());
  REQUIRE_FALSE(isError(Decoded));
  CHECK_FALSE(std::get<fleet_notice>(valueOf(Decoded).Message).CrashDigest);
}
