#pragma once

#include "LibLog/event_log.h"
#include "LibRelay/archived_crash.h"
#include "LibRelay/fleet_state.h"
#include "LibStore/async_store.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <tuple>

namespace azurehaven {

constexpr const char *CrashArchiveKey = "azurehaven/crashes";

/// Keeps in the store the crashes that tell against a request or a prompt
/// segment, so that they outlast all processes: a VM that starts reads them
/// with its first configuration. A write joins what stands there with what this
/// VM knows. One VM writes, another one if it does not. Used from one event
/// loop.
class crash_archive {
public:
  /// Longest list of crashes; those that tell least are left out.
  static constexpr std::size_t MaximumCrashes = 256;
  /// The fleet writes so often at the most, in so long a time.
  static constexpr std::size_t WritesPerWindow = 4;
  static constexpr milliseconds WriteWindow{4000};

  crash_archive(const fleet_state &Fleet, async_store &Store,
                const event_log &Log)
      : Fleet(Fleet), Store(Store), Log(Log) {}

  /// Notes what the store holds and returns it, for the fleet state to take in.
  /// Errors: InvalidInput; nothing is written then until it is replaced.
  result<std::vector<archived_crash>> onItem(const store_item &Item,
                                             steady_time Now);
  void onRemoved();
  /// Writes what the store lacks, if that is this VM's turn. To be called
  /// several times a second while the store is reachable.
  void advance(steady_time Now, unix_millis WallNow);
  /// Whether this VM knows of crashes that the store lacks and can take in.
  bool hasUnsaved() const { return UnsavedSince && !IsUnreadable; }

private:
  using crash_key = std::tuple<crash_cause, std::uint64_t, endpoint_id>;
  struct ranked_crash {
    /// Crashes that tell against the same request or segment.
    std::size_t Weight = 0;
    archived_crash Crash;
  };

  /// The crashes of one request or segment.
  using group = std::span<const crash_record>;

  static crash_key keyOf(const archived_crash &Crash);
  static std::size_t weightOf(group Crashes);
  void addGroup(std::vector<ranked_crash> &Ranked, crash_cause Cause,
                group Crashes, steady_time Now, unix_millis WallNow) const;
  /// The crashes to keep; those that tell most come first.
  std::vector<archived_crash> lasting(steady_time Now,
                                      unix_millis WallNow) const;
  void addLasting(std::vector<ranked_crash> &Ranked, crash_cause Cause,
                  const crash_records &Records, steady_time Now,
                  unix_millis WallNow) const;
  /// Whether the store lacks it, or knows less of it.
  bool isUnsaved(const archived_crash &Crash) const;
  void updateUnsaved(steady_time Now, unix_millis WallNow);
  bool isWriter(steady_time Now) const;
  /// Whether one more write keeps to the fleet's rate.
  bool mayWrite(steady_time Now) const;
  void onChanged(const std::vector<archived_crash> &Crashes,
                 store_revision Revision, steady_time Now);
  void write(steady_time Now);

  const fleet_state &Fleet;
  async_store &Store;
  const event_log &Log;
  std::map<crash_key, archived_crash> Stored;
  store_revision StoredRevision;
  /// What stands in the store can't be read, as by a later build.
  bool IsUnreadable = false;
  /// What the store should hold.
  std::vector<archived_crash> Wanted;
  /// Crashes that Wanted has no room for.
  std::size_t LeftOut = 0;
  /// What Wanted was derived from.
  std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t,
             store_revision>
      Seen;
  std::optional<steady_time> UnsavedSince;
  /// The latest writes, of any VM.
  std::deque<steady_time> Changes;
  bool IsWriting = false;
  steady_time NextTryAt;
};

} // namespace azurehaven
