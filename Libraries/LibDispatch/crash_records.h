#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace azurehaven {

/// Why a crash does not count. Later values replace earlier ones.
enum class crash_refutation : std::uint8_t {
  None = 0,
  /// The process start sent something after its alleged crash.
  EndpointAlive = 1,
  /// A response to the same request, or to a prompt with the same segment, was
  /// sound.
  SoundResponse = 2,
};

/// A process start of an endpoint that crashed while it had a request with this
/// fingerprint, which is that of the request or of a prompt segment.
struct crash_record {
  std::uint64_t Fingerprint = 0;
  /// Includes the incarnation: each process start crashes once at most.
  endpoint_id Endpoint;
  /// When the first VM observed it.
  steady_time At{};
  crash_refutation Refutation = crash_refutation::None;
  /// Crashes of other endpoints within this time before it may have had the
  /// same cause, whatever the request. Zero if the connection ended during the
  /// response.
  milliseconds CoincidenceTime{0};
};

/// Crashes that any VM has observed, as a replicated set: a merge keeps the
/// earlier time, the shorter coincidence time and the stronger refutation, so
/// that VMs agree whatever the order, number and delay of the messages.
/// Bounded. Not thread-safe.
class crash_records {
public:
  /// Records are kept for this long after the crash.
  static constexpr std::chrono::minutes RetentionTime{10};

  /// The oldest records are dropped beyond this number.
  static constexpr std::size_t MaximumRecords = 4096;

  /// Records what this VM observed, for takeNews(). Returns whether it changed
  /// anything.
  bool add(const crash_record &Record, steady_time Now);
  /// Records what another VM has told. Returns whether it changed anything.
  bool merge(const crash_record &Record, steady_time Now);
  /// Refute the crashes of a fingerprint whose response was sound, or of a
  /// process start that is alive, for takeNews(). Return whether it changed
  /// anything.
  bool refuteFingerprint(std::uint64_t Fingerprint);
  /// Refutes one crash, for takeNews(), unless that is known.
  void refute(std::uint64_t Fingerprint, const endpoint_id &Endpoint,
              crash_refutation Refutation);
  bool refuteEndpoint(const endpoint_id &Endpoint);

  /// Whether a response to the fingerprint was sound after crashes under it.
  bool hasSoundResponse(std::uint64_t Fingerprint) const;
  /// Whether the endpoint had crashed under another fingerprint before the
  /// recorded attempt was sent.
  bool hadCrashedBefore(const crash_record &Record) const;
  /// Number of process starts that crashed under the fingerprint and are not
  /// refuted.
  std::size_t endpointCount(std::uint64_t Fingerprint) const;
  /// Whether the endpoint is said to have crashed under the fingerprint.
  bool contains(std::uint64_t Fingerprint, const endpoint_id &Endpoint) const {
    return Entries.contains({Fingerprint, Endpoint});
  }
  /// The fingerprints in a range under which the endpoint is said to have
  /// crashed.
  std::vector<std::uint64_t> fingerprintsAt(const endpoint_id &Endpoint,
                                            std::uint64_t First,
                                            std::uint64_t Last) const;
  /// The crashes under fingerprints in a range, refuted ones too.
  std::vector<crash_record> recordsBetween(std::uint64_t First,
                                           std::uint64_t Last) const;
  /// The crashes under the fingerprint, refuted ones too.
  std::vector<crash_record> recordsOf(std::uint64_t Fingerprint) const;
  /// The crashes under the fingerprint that are not refuted.
  std::vector<crash_record> standingOf(std::uint64_t Fingerprint) const;
  /// Calls the visitor with each crash that is not refuted, by fingerprint.
  template <typename Visitor> void forEachStanding(Visitor Visit) const {
    for (const auto &Entry : Entries)
      if (Entry.second.Refutation == crash_refutation::None)
        Visit(recordOf(Entry));
  }
  /// What changed by observations of this VM since the last call.
  std::vector<crash_record> takeNews();
  /// In the order of their fingerprints.
  std::vector<crash_record> all() const;
  std::size_t size() const { return Entries.size(); }
  /// Whether one more record costs no crash that counts.
  bool hasRoom() const {
    return Entries.size() < MaximumRecords || RefutedCount > 0;
  }
  /// Equal on two VMs if they hold the same records without a coincidence time.
  std::uint64_t digest() const { return Digest; }
  /// The same for those with one.
  std::uint64_t waitingDigest() const { return WaitingDigest; }
  void expire(steady_time Now);

private:
  using record_key = std::pair<std::uint64_t, endpoint_id>;
  struct entry {
    steady_time At;
    crash_refutation Refutation = crash_refutation::None;
    milliseconds CoincidenceTime{0};
  };
  using entry_map = std::map<record_key, entry>;

  static std::uint64_t digestOf(const entry_map::value_type &Entry);
  static crash_record recordOf(const entry_map::value_type &Entry);
  /// The digest to which the entry adds.
  std::uint64_t &digestFor(const entry &Entry);
  void setCoincidenceTime(entry_map::value_type &Entry, milliseconds Time);
  void setRefutation(entry_map::value_type &Entry, crash_refutation Refutation);
  void refute(entry_map::value_type &Entry, crash_refutation Refutation);
  entry_map::iterator erase(entry_map::iterator Position);
  void evictOne();

  entry_map Entries;
  std::size_t RefutedCount = 0;
  std::uint64_t Digest = 0;
  std::uint64_t WaitingDigest = 0;
  std::set<record_key> News;
};

} // namespace azurehaven
