#include "LibPeer/frame_codec.h"
#include "LibPeer/frame_format.h"

#include <peer_generated.h>

namespace azurehaven {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<wire::Member> encodeMember(FlatBufferBuilder &Builder,
                                  const member_notice &Notice) {
  return wire::CreateMemberDirect(
      Builder, Notice.Vm.text().c_str(), Notice.Incarnation,
      static_cast<std::uint8_t>(Notice.State), Notice.Domain.text().c_str());
}

Offset<wire::Rating> encodeRating(FlatBufferBuilder &Builder,
                                  const rating_notice &Notice) {
  std::vector<wire::Counts> Buckets;
  std::vector<wire::LatencyCounts> Latencies;
  for (const auto &Counts : Notice.Buckets) {
    Buckets.emplace_back(static_cast<std::uint32_t>(Counts.Count),
                         static_cast<std::uint32_t>(Counts.Successes),
                         static_cast<std::uint32_t>(Counts.Failures),
                         Counts.ScoreMilli);
    Latencies.emplace_back(static_cast<std::uint32_t>(Counts.InTime),
                           static_cast<std::uint32_t>(Counts.Late));
  }
  return wire::CreateRatingDirect(
      Builder, Notice.Origin.text().c_str(), Notice.Incarnation,
      Notice.Version.text().c_str(), Notice.Class.text().c_str(), &Buckets,
      &Latencies);
}

Offset<wire::Rollout> encodeRollout(FlatBufferBuilder &Builder,
                                    const rollout_notice &Notice) {
  std::vector<Offset<wire::RouteShare>> RouteShares;
  for (const auto &Share : Notice.RouteShares)
    RouteShares.push_back(wire::CreateRouteShareDirect(
        Builder, Share.Route.c_str(), Share.Share));
  return wire::CreateRolloutDirect(
      Builder, Notice.Service.text().c_str(), Notice.Target.c_str(),
      Notice.OrderNumber, static_cast<std::uint64_t>(Notice.Elapsed.count()),
      Notice.IsElapsedEstimated, Notice.TrialShare, &RouteShares,
      static_cast<std::uint64_t>(Notice.ShiftStart.count()), Notice.IsRejected,
      static_cast<std::uint8_t>(Notice.Result));
}

/// Encodes the body of one message and sets Type to its wire type.
class body_encoder {
public:
  explicit body_encoder(FlatBufferBuilder &Builder) : Builder(Builder) {}

  wire::Body Type = wire::Body_NONE;

  Offset<void> operator()(const heartbeat &Message) {
    Type = wire::Body_Heartbeat;
    std::vector<Offset<wire::Member>> Members;
    for (const auto &Notice : Message.Members)
      Members.push_back(encodeMember(Builder, Notice));
    std::vector<Offset<wire::Rating>> Ratings;
    for (const auto &Notice : Message.Ratings)
      Ratings.push_back(encodeRating(Builder, Notice));
    const auto Crashes = encodeCrashes(Message.Crashes);
    const auto SegmentCrashes = encodeCrashes(Message.SegmentCrashes);
    std::vector<Offset<wire::Usage>> Usage;
    for (const auto &Notice : Message.Usage)
      Usage.push_back(wire::CreateUsageDirect(
          Builder, Notice.Account.text().c_str(), Notice.InFlight));
    std::vector<wire::RequestBody> Bodies;
    for (const auto &Notice : Message.RequestBodies)
      Bodies.emplace_back(Notice.Request, Notice.Body);
    const auto Age = Message.ConfirmationAge.value_or(milliseconds(0)).count();
    return wire::CreateHeartbeatDirect(
               Builder, Message.Kind == heartbeat_kind::Response, Message.Nonce,
               Message.ConfigVersion, Message.MayVote,
               Message.ConfirmationAge.has_value(),
               static_cast<std::uint64_t>(Age), Message.ConfirmedVersion,
               &Members, &Ratings, &Crashes, &Usage, &Bodies, &SegmentCrashes,
               &Message.ClearedSegments)
        .Union();
  }

  Offset<void> operator()(const configuration_request &Message) {
    Type = wire::Body_ConfigurationRequest;
    return wire::CreateConfigurationRequest(Builder, Message.KnownVersion)
        .Union();
  }

  Offset<void> operator()(const configuration_snapshot &Message) {
    Type = wire::Body_ConfigurationSnapshot;
    auto Document = Builder.CreateString(Message.Document);
    return wire::CreateConfigurationSnapshot(Builder, Document).Union();
  }

  Offset<void> operator()(const custody_request &Message) {
    Type = wire::Body_CustodyRequest;
    auto Bills = Builder.CreateVectorOfStrings(Message.Bills);
    return wire::CreateCustodyRequest(Builder, Message.Nonce, Bills).Union();
  }

  Offset<void> operator()(const custody_acknowledgement &Message) {
    Type = wire::Body_CustodyAnswer;
    return wire::CreateCustodyAnswer(Builder, Message.Nonce).Union();
  }

  Offset<void> operator()(const custody_release &Message) {
    Type = wire::Body_CustodyRelease;
    auto Keys = Builder.CreateVectorOfStrings(Message.Keys);
    return wire::CreateCustodyRelease(Builder, Keys).Union();
  }

  Offset<void> operator()(const fleet_notice &Message) {
    Type = wire::Body_FleetNotice;
    std::vector<wire::EndpointLoad> Loads;
    for (const auto &Load : Message.EndpointLoads)
      Loads.emplace_back(Load.Endpoint, Load.InFlight, Load.PromptWork);
    std::vector<Offset<wire::ReleaseCounts>> Releases;
    for (const auto &Release : Message.Releases)
      Releases.push_back(wire::CreateReleaseCountsDirect(
          Builder, Release.Service.text().c_str(), Release.Release.c_str(),
          Release.Route.c_str(), Release.Requests, Release.Failures,
          Release.Slow, Release.Attempts));
    std::vector<Offset<wire::SessionSighting>> SessionReleases;
    for (const auto &SessionRelease : Message.SessionReleases)
      SessionReleases.push_back(wire::CreateSessionSightingDirect(
          Builder, SessionRelease.Session, SessionRelease.Release.c_str(),
          static_cast<std::uint32_t>(SessionRelease.Age.count())));
    const auto Crashes = encodeCrashes(Message.Crashes);
    const auto SegmentCrashes = encodeCrashes(Message.SegmentCrashes);
    std::vector<Offset<wire::LeavingEndpoint>> Leaving;
    for (const auto &Notice : Message.LeavingEndpoints)
      Leaving.push_back(wire::CreateLeavingEndpointDirect(
          Builder, Notice.Endpoint.text().c_str(), Notice.Incarnation));
    std::vector<wire::EndpointRate> Rates;
    for (const auto &Rate : Message.Rates)
      Rates.emplace_back(Rate.Endpoint, Rate.Incarnation,
                         Rate.PerSecond.value_or(0),
                         static_cast<std::uint32_t>(Rate.Age.count()),
                         Rate.PerSecond.has_value());
    std::vector<Offset<wire::BrittleService>> Brittle;
    for (const auto &Notice : Message.BrittleServices)
      Brittle.push_back(wire::CreateBrittleServiceDirect(
          Builder, Notice.Service.text().c_str(), Notice.PerSecond.value_or(0),
          static_cast<std::uint32_t>(Notice.Age.count()),
          Notice.PerSecond.has_value()));
    std::vector<Offset<wire::ReachedService>> Reached;
    for (const auto &Notice : Message.ReachedServices)
      Reached.push_back(wire::CreateReachedServiceDirect(
          Builder, Notice.Service.text().c_str(),
          static_cast<std::uint32_t>(Notice.Age.count()),
          Notice.ProcessStart.value_or(NoProcessStart)));
    std::vector<Offset<wire::Rollout>> Rollouts;
    for (const auto &Notice : Message.Rollouts)
      Rollouts.push_back(encodeRollout(Builder, Notice));
    std::optional<wire::PassedConfirmation> Confirmation;
    if (Message.Confirmation)
      Confirmation.emplace(Message.Confirmation->Version,
                           Message.Confirmation->Incarnation,
                           static_cast<std::uint64_t>(
                               Message.Confirmation->ClockReading.count()));
    const auto Records = encodeCrashRecords(Message.CrashRecords);
    const auto WaitingRecords = encodeCrashRecords(Message.WaitingCrashRecords);
    std::optional<wire::WaitingCrashDigest> WaitingDigest;
    if (Message.WaitingCrashDigest)
      WaitingDigest.emplace(Message.WaitingCrashDigest->Segments);
    const auto Outcomes = encodeOutcomes(Message.ReleaseOutcomes);
    std::optional<wire::CrashDigest> Digest;
    if (Message.CrashDigest)
      Digest.emplace(Message.CrashDigest->Requests,
                     Message.CrashDigest->Segments);
    return wire::CreateFleetNoticeDirect(
               Builder, &Releases, &SessionReleases, &Crashes, &Leaving, &Loads,
               static_cast<std::uint64_t>(Message.ClockReading.count()),
               Confirmation ? &*Confirmation : nullptr, &SegmentCrashes,
               &Message.ClearedSegments, &Rates, &Brittle, &Reached, &Rollouts,
               &Records, Digest ? &*Digest : nullptr, Message.WantsCrashRecords,
               &Outcomes, &WaitingRecords,
               WaitingDigest ? &*WaitingDigest : nullptr)
        .Union();
  }

private:
  std::vector<Offset<wire::ReleaseOutcomes>>
  encodeOutcomes(const std::vector<release_outcomes_notice> &Notices) {
    std::vector<Offset<wire::ReleaseOutcomes>> Outcomes;
    for (const auto &Notice : Notices)
      Outcomes.push_back(wire::CreateReleaseOutcomesDirect(
          Builder, Notice.Service.text().c_str(), Notice.Release.c_str(),
          Notice.Route.c_str(), Notice.Endpoint, Notice.Failures,
          Notice.FirstBucket, &Notice.Successes));
    return Outcomes;
  }

  std::vector<Offset<wire::Crash>>
  encodeCrashes(const std::vector<crash_notice> &Notices) {
    std::vector<Offset<wire::Crash>> Crashes;
    for (const auto &Notice : Notices)
      Crashes.push_back(wire::CreateCrashDirect(
          Builder, Notice.Fingerprint, Notice.Endpoint.text().c_str()));
    return Crashes;
  }

  std::vector<Offset<wire::CrashRecord>>
  encodeCrashRecords(const std::vector<crash_record_notice> &Notices) {
    std::vector<Offset<wire::CrashRecord>> Records;
    for (const auto &Notice : Notices) {
      // Many records name the same few endpoints.
      const auto Endpoint = Builder.CreateSharedString(Notice.Endpoint.text());
      Records.push_back(wire::CreateCrashRecord(
          Builder, Notice.Fingerprint, Endpoint,
          static_cast<std::uint32_t>(Notice.Age.count()),
          Notice.Cause == crash_cause::PromptSegment, Notice.Refutation,
          static_cast<std::uint32_t>(Notice.CoincidenceTime.count())));
    }
    return Records;
  }

  FlatBufferBuilder &Builder;
};

} // namespace

std::string encodeFrame(const peer_frame &Frame) {
  FlatBufferBuilder Builder(1024);
  body_encoder Encoder(Builder);
  auto Body = std::visit(Encoder, Frame.Message);
  auto Sender = Builder.CreateString(Frame.Sender.text());
  Builder.Finish(wire::CreateFrame(Builder, Sender, Frame.Incarnation,
                                   Encoder.Type, Body));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

} // namespace azurehaven
