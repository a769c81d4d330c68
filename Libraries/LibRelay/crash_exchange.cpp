#include "LibRelay/crash_exchange.h"

#include "LibRelay/alleged_crash.h"

namespace azurehaven {

namespace {

/// A digest may differ once only because a notice is still under way.
constexpr unsigned MismatchesBeforeRequest = 2;
/// A VM of an earlier build can't ask, so that one in this many notices has all
/// crashes for it.
constexpr std::uint64_t NoticesPerFullCrashes = 10;
constexpr milliseconds PeerTimeToLive{10000};

crash_record_notice noticeOf(crash_cause Cause, const crash_record &Record,
                             steady_time Now) {
  return {Cause,
          Record.Fingerprint,
          Record.Endpoint,
          std::chrono::duration_cast<milliseconds>(Now - Record.At),
          static_cast<std::uint8_t>(Record.Refutation),
          Record.CoincidenceTime};
}

void addRecords(fleet_notice &Notice, crash_cause Cause,
                const std::vector<crash_record> &Records, steady_time Now) {
  for (const crash_record &Record : Records) {
    auto &Notices = Record.CoincidenceTime.count() == 0
                        ? Notice.CrashRecords
                        : Notice.WaitingCrashRecords;
    Notices.push_back(noticeOf(Cause, Record, Now));
  }
}

/// The crashes that count, in the form that earlier builds read.
void addEarlierForm(std::vector<crash_notice> &Notices,
                    const std::vector<crash_record> &Records) {
  for (const crash_record &Record : Records)
    if (Record.Refutation == crash_refutation::None &&
        Record.CoincidenceTime.count() == 0)
      Notices.push_back({Record.Fingerprint, Record.Endpoint});
}

} // namespace

crash_digest_notice crash_exchange::digest() const {
  return {Fleet.Quarantine.records().digest(),
          Fleet.PromptQuarantine.records().digest()};
}

waiting_crash_digest_notice crash_exchange::waitingDigest() const {
  // A sum, as earlier builds know no such crashes of requests.
  return {Fleet.PromptQuarantine.records().waitingDigest() +
          Fleet.Quarantine.records().waitingDigest()};
}

bool crash_exchange::knowsTheSame(const fleet_notice &Notice) const {
  const bool IsWaitingEqual = !Notice.WaitingCrashDigest ||
                              *Notice.WaitingCrashDigest == waitingDigest();
  return *Notice.CrashDigest == digest() && IsWaitingEqual;
}

void crash_exchange::addNews(fleet_notice &Notice, std::size_t Recipients,
                             steady_time Now) {
  const auto Requests = Fleet.Quarantine.takeNews();
  const auto Segments = Fleet.PromptQuarantine.takeNews();
  addRecords(Notice, crash_cause::Request, Requests, Now);
  addRecords(Notice, crash_cause::PromptSegment, Segments, Now);
  addEarlierForm(Notice.Crashes, Requests);
  addEarlierForm(Notice.SegmentCrashes, Segments);
  Notice.ClearedSegments = Fleet.PromptQuarantine.takeNewlyCleared();
  Notice.CrashDigest = digest();
  Notice.WaitingCrashDigest = waitingDigest();
  Source = selectSource();
  ++NoticeCount;
  if (!Requests.empty() || !Segments.empty())
    Log.write(log_level::Info, "crashes_sent",
              {{"requests", std::to_string(Requests.size())},
               {"segments", std::to_string(Segments.size())},
               {"vms", std::to_string(Recipients)}});
}

std::optional<vm_id> crash_exchange::selectSource() const {
  const bool KnowsNothing = Fleet.Quarantine.records().size() == 0 &&
                            Fleet.PromptQuarantine.records().size() == 0;
  const unsigned Needed = KnowsNothing ? 1 : MismatchesBeforeRequest;
  std::optional<vm_id> Selected;
  steady_time AskedAt = steady_time::max();
  // Those that know less differ, too; one after the other is asked.
  for (const auto &[Vm, Peer] : Peers) {
    if (Peer.Mismatches < Needed || Peer.LastAskedAt >= AskedAt)
      continue;
    Selected = Vm;
    AskedAt = Peer.LastAskedAt;
  }
  return Selected;
}

void crash_exchange::addFor(const vm_id &To, fleet_notice &Notice,
                            steady_time Now) {
  const auto Found = Peers.find(To);
  if (Found == Peers.end())
    return;
  peer_state &Peer = Found->second;
  if (Source == To) {
    Notice.WantsCrashRecords = true;
    Peer.LastAskedAt = Now;
  }
  if (!Peer.ReadsRecords && NoticeCount % NoticesPerFullCrashes == 0) {
    addEarlierForm(Notice.Crashes, Fleet.Quarantine.records().all());
    addEarlierForm(Notice.SegmentCrashes,
                   Fleet.PromptQuarantine.records().all());
  }
  if (!std::exchange(Peer.IsWaiting, false))
    return;
  Notice.CrashRecords.clear();
  Notice.WaitingCrashRecords.clear();
  addRecords(Notice, crash_cause::Request, Fleet.Quarantine.records().all(),
             Now);
  addRecords(Notice, crash_cause::PromptSegment,
             Fleet.PromptQuarantine.records().all(), Now);
  Log.write(log_level::Info, "crash_records_sent",
            {{"records", std::to_string(Notice.CrashRecords.size() +
                                        Notice.WaitingCrashRecords.size())},
             {"to", To.text()}});
}

void crash_exchange::onNotice(const vm_id &From, const fleet_notice &Notice,
                              steady_time Now) {
  peer_state &Peer = Peers[From];
  Peer.LastNoticeAt = Now;
  Peer.ReadsRecords = Notice.CrashDigest.has_value();
  Peer.IsWaiting |= Notice.WantsCrashRecords;
  if (!Notice.CrashDigest)
    return mergeEarlierForm(Notice, Now);
  merge(From, Notice, Now);
  Peer.Mismatches = knowsTheSame(Notice) ? 0 : Peer.Mismatches + 1;
}

void crash_exchange::merge(const vm_id &From, const fleet_notice &Notice,
                           steady_time Now) {
  std::size_t NewRequests = 0;
  std::vector<crash_record> Segments;
  std::vector<crash_record_notice> All = Notice.CrashRecords;
  All.insert(All.end(), Notice.WaitingCrashRecords.begin(),
             Notice.WaitingCrashRecords.end());
  for (const crash_record_notice &Told : All) {
    const crash_record Record{Told.Fingerprint, Told.Endpoint, Now - Told.Age,
                              static_cast<crash_refutation>(Told.Refutation),
                              Told.CoincidenceTime};
    if (Record.Refutation == crash_refutation::None)
      recordAllegedCrash(Fleet, Record.Endpoint, Record.At);
    if (Told.Cause == crash_cause::PromptSegment)
      Segments.push_back(Record);
    else
      NewRequests += Fleet.Quarantine.merge(Record, Now);
  }
  const std::size_t NewSegments =
      Fleet.PromptQuarantine.mergeAll(Segments, Now);
  if (NewRequests + NewSegments > 0)
    Log.write(log_level::Info, "crashes_received",
              {{"requests", std::to_string(NewRequests)},
               {"segments", std::to_string(NewSegments)},
               {"from", From.text()}});
}

void crash_exchange::mergeEarlierForm(const fleet_notice &Notice,
                                      steady_time Now) {
  for (const crash_notice &Crash : Notice.Crashes)
    Fleet.Quarantine.merge({Crash.Fingerprint, Crash.Endpoint, Now}, Now);
  for (const crash_notice &Crash : Notice.SegmentCrashes)
    Fleet.PromptQuarantine.merge({Crash.Fingerprint, Crash.Endpoint, Now}, Now);
  for (const segment_key Segment : Notice.ClearedSegments)
    Fleet.PromptQuarantine.mergeCleared(Segment, Now);
}

void crash_exchange::expire(steady_time Now) {
  std::erase_if(Peers, [&](const auto &Entry) {
    return Now - Entry.second.LastNoticeAt > PeerTimeToLive;
  });
}

} // namespace azurehaven
