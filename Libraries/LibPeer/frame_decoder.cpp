#include "LibPeer/frame_codec.h"
#include "LibPeer/frame_format.h"

#include <peer_generated.h>

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

using flatbuffers::Offset;

/// No roll-out takes longer than a week; later times are malformed.
constexpr std::uint64_t MaximumRolloutTimeMs = 7ull * 24 * 3600 * 1000;

template <typename Table, typename Decoder>
auto decodeAll(const flatbuffers::Vector<Offset<Table>> *Items,
               Decoder Decode) {
  std::vector<decltype(Decode(*Items->Get(0)))> Decoded;
  if (!Items)
    return Decoded;
  Decoded.reserve(Items->size());
  for (const auto *Item : *Items)
    Decoded.push_back(Decode(*Item));
  return Decoded;
}

/// Decodes the structs of a vector, at most one for each bucket, with their
/// index.
template <typename Struct, typename Visitor>
void forEachBucket(const flatbuffers::Vector<const Struct *> *Items,
                   Visitor Visit) {
  const std::size_t Count =
      Items ? std::min<std::size_t>(Items->size(), BucketCount) : 0;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Visit(Index, *Items->Get(static_cast<flatbuffers::uoffset_t>(Index)));
}

rating_notice decodeRating(const wire::Rating &Item) {
  rating_notice Notice;
  Notice.Origin = vm_id(Item.origin()->str());
  Notice.Incarnation = Item.incarnation();
  Notice.Version = version_id(Item.version()->str());
  Notice.Class = class_id(Item.work_class()->str());
  forEachBucket(
      Item.buckets(), [&](std::size_t Index, const wire::Counts &Counts) {
        Notice.Buckets[Index] = {Counts.ratings(), Counts.score_milli(),
                                 Counts.successes(), Counts.failures()};
      });
  forEachBucket(Item.latencies(),
                [&](std::size_t Index, const wire::LatencyCounts &Counts) {
                  Notice.Buckets[Index].InTime = Counts.in_time();
                  Notice.Buckets[Index].Late = Counts.late();
                });
  return Notice;
}

crash_notice decodeCrash(const wire::Crash &Item) {
  return {Item.fingerprint(), endpoint_id(Item.endpoint()->str())};
}

crash_record_notice decodeCrashRecord(const wire::CrashRecord &Item) {
  return {Item.is_segment() ? crash_cause::PromptSegment : crash_cause::Request,
          Item.fingerprint(),
          endpoint_id(Item.endpoint()->str()),
          milliseconds(Item.age_ms()),
          std::min(Item.refutation(), MaximumCrashRefutation),
          milliseconds(Item.coincidence_ms())};
}

heartbeat decodeHeartbeat(const wire::Heartbeat &Source) {
  heartbeat Message;
  Message.Kind =
      Source.is_answer() ? heartbeat_kind::Response : heartbeat_kind::Request;
  Message.Nonce = Source.nonce();
  Message.ConfigVersion = Source.config_version();
  Message.MayVote = Source.may_vouch();
  if (Source.has_confirmation())
    Message.ConfirmationAge = milliseconds(Source.confirmation_age_ms());
  Message.ConfirmedVersion = Source.confirmed_version();
  Message.Members = decodeAll(Source.members(), [](const wire::Member &Item) {
    return member_notice{
        vm_id(Item.vm()->str()), Item.incarnation(),
        static_cast<member_state>(std::min<std::uint8_t>(
            Item.state(), static_cast<std::uint8_t>(member_state::Leaving))),
        failure_domain_id(Item.domain()->str())};
  });
  Message.Ratings = decodeAll(Source.ratings(), decodeRating);
  Message.Crashes = decodeAll(Source.crashes(), decodeCrash);
  Message.Usage = decodeAll(Source.usage(), [](const wire::Usage &Item) {
    return usage_notice{client_account_id(Item.account()->str()),
                        Item.in_flight()};
  });
  if (Source.request_bodies())
    for (const wire::RequestBody *Item : *Source.request_bodies())
      Message.RequestBodies.push_back({Item->request(), Item->body()});
  Message.SegmentCrashes = decodeAll(Source.segment_crashes(), decodeCrash);
  if (const auto *Cleared = Source.cleared_segments())
    Message.ClearedSegments.assign(Cleared->begin(), Cleared->end());
  return Message;
}

bool isValidRate(double PerSecond) {
  return std::isfinite(PerSecond) && PerSecond >= 0;
}

/// Returns nullopt for a rate that no endpoint can have named.
std::optional<endpoint_rate_notice> decodeRate(const wire::EndpointRate &Item) {
  endpoint_rate_notice Notice{Item.endpoint(), Item.incarnation(), std::nullopt,
                              milliseconds(Item.age_ms())};
  if (!Item.is_limited())
    return Notice;
  if (!isValidRate(Item.per_second()))
    return std::nullopt;
  Notice.PerSecond = Item.per_second();
  return Notice;
}

std::optional<brittle_service_notice>
decodeBrittleService(const wire::BrittleService &Item) {
  brittle_service_notice Notice{service_id(Item.service()->str()), std::nullopt,
                                milliseconds(Item.age_ms())};
  if (!Item.is_brittle())
    return Notice;
  if (!isValidRate(Item.per_second()))
    return std::nullopt;
  Notice.PerSecond = Item.per_second();
  return Notice;
}

bool isValidShare(double Share) {
  return std::isfinite(Share) && Share >= 0 && Share <= 1;
}

/// Returns nullopt for a state that no roll-out can be in.
release_outcomes_notice decodeOutcomes(const wire::ReleaseOutcomes &Item) {
  release_outcomes_notice Notice{service_id(Item.service()->str()),
                                 Item.release()->str(),
                                 Item.route()->str(),
                                 Item.endpoint(),
                                 Item.failures(),
                                 Item.first_bucket(),
                                 {}};
  if (const auto *Successes = Item.successes())
    Notice.Successes.assign(Successes->begin(), Successes->end());
  return Notice;
}

std::optional<rollout_notice> decodeRollout(const wire::Rollout &Item) {
  const bool IsValid =
      isValidShare(Item.trial_share()) &&
      Item.elapsed_ms() <= MaximumRolloutTimeMs &&
      Item.shift_start_ms() <= MaximumRolloutTimeMs &&
      Item.result() <= static_cast<std::uint8_t>(rollout_result::RolledBack);
  if (!IsValid)
    return std::nullopt;
  rollout_notice Notice;
  Notice.Service = service_id(Item.service()->str());
  Notice.Target = Item.target()->str();
  Notice.OrderNumber = Item.order_number();
  Notice.Elapsed = milliseconds(Item.elapsed_ms());
  Notice.IsElapsedEstimated = Item.is_elapsed_estimated();
  Notice.TrialShare = Item.trial_share();
  if (Item.route_shares())
    for (const wire::RouteShare *Share : *Item.route_shares())
      if (isValidShare(Share->share()))
        Notice.RouteShares.push_back({Share->route()->str(), Share->share()});
  Notice.ShiftStart = milliseconds(Item.shift_start_ms());
  Notice.IsRejected = Item.is_rejected();
  Notice.Result = static_cast<rollout_result>(Item.result());
  return Notice;
}

fleet_notice decodeFleetNotice(const wire::FleetNotice &Source) {
  fleet_notice Message;
  Message.ClockReading = milliseconds(Source.clock_ms());
  if (const auto *Confirmation = Source.confirmation())
    Message.Confirmation = {Confirmation->version(),
                            Confirmation->incarnation(),
                            milliseconds(Confirmation->clock_ms())};
  if (Source.loads())
    for (const wire::EndpointLoad *Item : *Source.loads())
      Message.EndpointLoads.push_back(
          {Item->endpoint(), Item->in_flight(), Item->prompt_work()});
  if (Source.rates())
    for (const wire::EndpointRate *Item : *Source.rates())
      if (const auto Rate = decodeRate(*Item))
        Message.Rates.push_back(*Rate);
  if (Source.brittle())
    for (const wire::BrittleService *Item : *Source.brittle())
      if (auto Notice = decodeBrittleService(*Item))
        Message.BrittleServices.push_back(std::move(*Notice));
  if (Source.rollouts())
    for (const wire::Rollout *Item : *Source.rollouts())
      if (auto Notice = decodeRollout(*Item))
        Message.Rollouts.push_back(std::move(*Notice));
  Message.ReachedServices =
      decodeAll(Source.reached(), [](const wire::ReachedService &Item) {
        reached_service_notice Notice{service_id(Item.service()->str()),
                                      milliseconds(Item.age_ms()),
                                      std::nullopt};
        if (Item.process_start() != NoProcessStart)
          Notice.ProcessStart = Item.process_start();
        return Notice;
      });
  Message.Releases =
      decodeAll(Source.releases(), [](const wire::ReleaseCounts &Item) {
        return release_counts_notice{service_id(Item.service()->str()),
                                     Item.release()->str(),
                                     Item.route()->str(),
                                     Item.requests(),
                                     Item.failures(),
                                     Item.slow(),
                                     Item.attempts()};
      });
  Message.SessionReleases =
      decodeAll(Source.sightings(), [](const wire::SessionSighting &Item) {
        return session_release_notice{Item.session(), Item.release()->str(),
                                      milliseconds(Item.age_ms())};
      });
  Message.Crashes = decodeAll(Source.crashes(), decodeCrash);
  Message.SegmentCrashes = decodeAll(Source.segment_crashes(), decodeCrash);
  if (const auto *Cleared = Source.cleared_segments())
    Message.ClearedSegments.assign(Cleared->begin(), Cleared->end());
  Message.CrashRecords = decodeAll(Source.crash_records(), decodeCrashRecord);
  if (const auto *Digest = Source.crash_digest())
    Message.CrashDigest = {Digest->requests(), Digest->segments()};
  Message.WantsCrashRecords = Source.wants_crash_records();
  Message.WaitingCrashRecords =
      decodeAll(Source.waiting_crash_records(), decodeCrashRecord);
  if (const auto *Digest = Source.waiting_crash_digest())
    Message.WaitingCrashDigest = {Digest->segments()};
  Message.ReleaseOutcomes =
      decodeAll(Source.release_outcomes(), decodeOutcomes);
  Message.LeavingEndpoints =
      decodeAll(Source.leaving(), [](const wire::LeavingEndpoint &Item) {
        return leaving_notice{endpoint_id(Item.endpoint()->str()),
                              Item.incarnation()};
      });
  return Message;
}

std::vector<std::string>
decodeStrings(const flatbuffers::Vector<Offset<flatbuffers::String>> *Items) {
  return decodeAll(Items,
                   [](const flatbuffers::String &Item) { return Item.str(); });
}

std::optional<peer_message> decodeBody(const wire::Frame &Frame) {
  switch (Frame.body_type()) {
  case wire::Body_Heartbeat:
    return decodeHeartbeat(*Frame.body_as_Heartbeat());
  case wire::Body_ConfigurationRequest:
    return configuration_request{
        Frame.body_as_ConfigurationRequest()->known_version()};
  case wire::Body_ConfigurationSnapshot:
    return configuration_snapshot{
        Frame.body_as_ConfigurationSnapshot()->document()->str()};
  case wire::Body_CustodyRequest:
    return custody_request{
        Frame.body_as_CustodyRequest()->nonce(),
        decodeStrings(Frame.body_as_CustodyRequest()->bills())};
  case wire::Body_CustodyAnswer:
    return custody_acknowledgement{Frame.body_as_CustodyAnswer()->nonce()};
  case wire::Body_CustodyRelease:
    return custody_release{
        decodeStrings(Frame.body_as_CustodyRelease()->keys())};
  case wire::Body_FleetNotice:
    return decodeFleetNotice(*Frame.body_as_FleetNotice());
  default:
    return std::nullopt;
  }
}

} // namespace

result<peer_frame> decodeFrame(std::string_view Bytes) {
  // The verifier requires an aligned buffer, which a copy provides.
  std::vector<std::uint64_t> Aligned((Bytes.size() + 7) / 8 + 1);
  auto *Data = reinterpret_cast<std::uint8_t *>(Aligned.data());
  std::copy(Bytes.begin(), Bytes.end(), Data);
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (Bytes.size() > FrameLimitBytes || !wire::VerifyFrameBuffer(Verifier))
    return error{error_code::InvalidInput, "peer frame: malformed"};
  const wire::Frame *Frame = wire::GetFrame(Data);
  // The verifier accepts a frame whose body type is set but whose body is
  // missing.
  if (!Frame->body())
    return error{error_code::InvalidInput, "peer frame: missing body"};
  auto Message = decodeBody(*Frame);
  if (!Message)
    return error{error_code::InvalidInput, "peer frame: unknown body type"};
  return peer_frame{vm_id(Frame->sender()->str()), Frame->incarnation(),
                    std::move(*Message)};
}

} // namespace azurehaven
