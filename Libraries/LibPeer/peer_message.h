#pragma once

#include "LibPeer/rating_counts.h"
#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace azurehaven {

/// A process passes through these states in order.
enum class member_state : std::uint8_t {
  /// Not yet ready for callers.
  Starting = 0,
  Serving = 1,
  /// Has announced a planned stop; accepts no new callers.
  Leaving = 2,
};

struct member_notice {
  vm_id Vm;
  /// Chosen anew at each start; larger is later.
  std::uint64_t Incarnation = 0;
  member_state State = member_state::Starting;
  failure_domain_id Domain;
};

/// Cumulative rating and outcome counts of one origin for one version and
/// class, so that repeated or reordered notices are harmless.
struct rating_notice {
  vm_id Origin;
  std::uint64_t Incarnation = 0;
  version_id Version;
  class_id Class;
  bucket_counts Buckets{};
};

/// A request that was running on an endpoint when the endpoint crashed.
struct crash_notice {
  std::uint64_t Fingerprint = 0;
  endpoint_id Endpoint;
};

/// Binds an account's request id to a request body, both as fingerprints.
struct request_body_notice {
  std::uint64_t Request = 0;
  std::uint64_t Body = 0;
};

struct usage_notice {
  client_account_id Account;
  std::uint32_t InFlight = 0;
};

enum class heartbeat_kind { Request, Response };

struct heartbeat {
  heartbeat_kind Kind = heartbeat_kind::Request;
  /// A response repeats the nonce of its request.
  std::uint64_t Nonce = 0;
  std::uint64_t ConfigVersion = 0;
  /// Whether the sender has recovered its configuration since it started, so
  /// that it counts towards a majority.
  bool MayVote = false;
  /// Age of the store's latest confirmation of ConfirmedVersion.
  std::optional<milliseconds> ConfirmationAge;
  std::uint64_t ConfirmedVersion = 0;
  std::vector<member_notice> Members;
  std::vector<rating_notice> Ratings;
  std::vector<crash_notice> Crashes;
  std::vector<usage_notice> Usage;
  std::vector<request_body_notice> RequestBodies;
  /// Crashes under a prompt segment; the fingerprint is the segment's.
  std::vector<crash_notice> SegmentCrashes;
  /// Segments that are no longer suspected.
  std::vector<std::uint64_t> ClearedSegments;
};

struct configuration_request {
  std::uint64_t KnownVersion = 0;
};

struct configuration_snapshot {
  std::string Document;
};

/// Asks a peer to hold bills until the origin releases them, leaves or fails.
struct custody_request {
  std::uint64_t Nonce = 0;
  std::vector<std::string> Bills;
};

struct custody_acknowledgement {
  std::uint64_t Nonce = 0;
};

struct custody_release {
  std::vector<std::string> Keys;
};

/// The sender's own load on an endpoint.
struct endpoint_load_notice {
  /// Hash of the endpoint's id; see endpointHash().
  std::uint64_t Endpoint = 0;
  std::uint32_t InFlight = 0;
  /// Outstanding prompt work, in prompt_work units.
  std::uint32_t PromptWork = 0;
};

/// Cumulative outcome counts of one release on one route since the sender
/// started.
struct release_counts_notice {
  service_id Service;
  std::string Release;
  std::string Route;
  std::uint32_t Requests = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Slow = 0;
  std::uint32_t Attempts = 0;
};

/// Cumulative outcomes of one release on one route and endpoint since the
/// sender started.
struct release_outcomes_notice {
  service_id Service;
  std::string Release;
  std::string Route;
  /// Hash of the endpoint's id; see endpointHash().
  std::uint64_t Endpoint = 0;
  std::uint32_t Failures = 0;
  /// The latency bucket of the first of Successes; see outcome_histogram.
  std::uint8_t FirstBucket = 0;
  std::vector<std::uint32_t> Successes;
};

/// The release that has just served a request of the session.
struct session_release_notice {
  std::uint64_t Session = 0;
  std::string Release;
  /// Time since then.
  milliseconds Age{0};
};

/// An endpoint's process start that has said in a response that it is leaving.
struct leaving_notice {
  endpoint_id Endpoint;
  std::int64_t Incarnation = 0;
};

/// The store has confirmed to the sender that this configuration version is the
/// latest, after the sender had received this clock reading of the receiver.
struct confirmation_notice {
  std::uint64_t Version = 0;
  /// The receiver's process start that sent the reading.
  std::uint64_t Incarnation = 0;
  milliseconds ClockReading{0};
};

/// What an endpoint's process start has said about the rate that it accepts
/// from all VMs together.
struct endpoint_rate_notice {
  /// Hash of the endpoint's id; see endpointHash().
  std::uint64_t Endpoint = 0;
  std::int64_t Incarnation = 0;
  /// Requests per second; nullopt if it has no limit any more.
  std::optional<double> PerSecond;
  /// Time since the sender received it.
  milliseconds Age{0};
};

/// What an endpoint of a service has said about the rejections that each of
/// them bears.
struct brittle_service_notice {
  service_id Service;
  /// Nullopt if they are not brittle any more.
  std::optional<double> PerSecond;
  /// Time since the sender received it.
  milliseconds Age{0};
};

/// Time since the sender last received something from an endpoint of the
/// service.
struct reached_service_notice {
  service_id Service;
  milliseconds Age{0};
  /// Hash of the process start that sent it; nullopt from an earlier build.
  std::optional<std::uint64_t> ProcessStart;
};

/// The share of a route's sessions that a roll-out's trial gets.
struct route_share_notice {
  std::string Route;
  double Share = 0;
};

enum class rollout_result : std::uint8_t {
  None = 0,
  Completed = 1,
  RolledBack = 2,
};

/// What the sender knows of a roll-out that the whole fleet has to agree on.
struct rollout_notice {
  service_id Service;
  std::string Target;
  /// The store's number of the order's revision.
  std::uint64_t OrderNumber = 0;
  /// Time since the roll-out began.
  milliseconds Elapsed{0};
  /// Whether the sender has not read the order as it was written.
  bool IsElapsedEstimated = false;
  double TrialShare = 0;
  std::vector<route_share_notice> RouteShares;
  /// Counted from the start of the roll-out; zero if it was not postponed.
  milliseconds ShiftStart{0};
  bool IsRejected = false;
  /// The outcome that the sender knows to be in the store.
  rollout_result Result = rollout_result::None;
};

/// Under what an endpoint crashed.
enum class crash_cause { Request, PromptSegment };

/// Why a crash does not count; see crash_refutation.
constexpr std::uint8_t MaximumCrashRefutation = 2;

/// What the sender knows of a crash, whoever observed it.
struct crash_record_notice {
  crash_cause Cause = crash_cause::Request;
  std::uint64_t Fingerprint = 0;
  endpoint_id Endpoint;
  /// Time since the crash.
  milliseconds Age{0};
  /// At most MaximumCrashRefutation.
  std::uint8_t Refutation = 0;
  /// See crash_record; zero if the response had begun.
  milliseconds CoincidenceTime{0};
};

/// Equal for two VMs if they hold the same crash records.
struct crash_digest_notice {
  std::uint64_t Requests = 0;
  std::uint64_t Segments = 0;

  bool operator==(const crash_digest_notice &) const = default;
};

/// The same for crashes under segments before the response had begun.
struct waiting_crash_digest_notice {
  std::uint64_t Segments = 0;

  bool operator==(const waiting_crash_digest_notice &) const = default;
};

/// Endpoint load and outcomes of the sender's requests, sent several times a
/// second.
struct fleet_notice {
  std::vector<endpoint_load_notice> EndpointLoads;
  std::vector<release_counts_notice> Releases;
  std::vector<session_release_notice> SessionReleases;
  std::vector<crash_notice> Crashes;
  std::vector<leaving_notice> LeavingEndpoints;
  /// The sender's clock reading.
  milliseconds ClockReading{0};
  std::optional<confirmation_notice> Confirmation;
  /// Crashes under a prompt segment; the fingerprint is the segment's.
  std::vector<crash_notice> SegmentCrashes;
  /// Segments that are no longer suspected.
  std::vector<std::uint64_t> ClearedSegments;
  std::vector<endpoint_rate_notice> Rates;
  std::vector<brittle_service_notice> BrittleServices;
  std::vector<reached_service_notice> ReachedServices;
  std::vector<rollout_notice> Rollouts;
  /// Replace Crashes, SegmentCrashes and ClearedSegments, which only earlier
  /// builds read.
  std::vector<crash_record_notice> CrashRecords;
  /// Nullopt from an earlier build.
  std::optional<crash_digest_notice> CrashDigest;
  /// Whether the sender asks for all crash records of the receiver.
  bool WantsCrashRecords = false;
  std::vector<release_outcomes_notice> ReleaseOutcomes;
  /// Crashes under segments before the response had begun.
  std::vector<crash_record_notice> WaitingCrashRecords;
  /// Nullopt from an earlier build.
  std::optional<waiting_crash_digest_notice> WaitingCrashDigest;
};

using peer_message =
    std::variant<heartbeat, configuration_request, configuration_snapshot,
                 custody_request, custody_acknowledgement, custody_release,
                 fleet_notice>;

struct peer_frame {
  vm_id Sender;
  std::uint64_t Incarnation = 0;
  peer_message Message;
};

} // namespace azurehaven
