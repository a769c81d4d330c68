#include "LibRelay/crash_archive.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// One crash tells little: it ends all requests on its endpoint, most of which
/// succeed elsewhere. Each write wakes all VMs.
constexpr std::size_t MinimumWeight = 2;
/// What one VM has not written after this time, the next one may write, too.
constexpr milliseconds TakeoverTime{600};
/// The next notices of all VMs are awaited between two writes.
constexpr milliseconds MinimumInterval{200};
/// The watch tells within this time why a write failed.
constexpr milliseconds RetryInterval{1000};

unix_millis wallTimeOf(steady_time At, steady_time Now, unix_millis WallNow) {
  const auto Age = std::chrono::duration_cast<milliseconds>(Now - At);
  return WallNow - unix_millis(Age.count());
}

} // namespace

crash_archive::crash_key crash_archive::keyOf(const archived_crash &Crash) {
  return {Crash.Cause, Crash.Fingerprint, Crash.Endpoint};
}

result<std::vector<archived_crash>>
crash_archive::onItem(const store_item &Item, steady_time Now) {
  auto Crashes = decodeArchivedCrashes(Item.Value);
  // The watch may tell of a write that came before this VM's own.
  if (Item.Revision <= StoredRevision)
    return Crashes;
  IsUnreadable = isError(Crashes);
  onChanged(IsUnreadable ? std::vector<archived_crash>() : valueOf(Crashes),
            Item.Revision, Now);
  return Crashes;
}

void crash_archive::onChanged(const std::vector<archived_crash> &Crashes,
                              store_revision Revision, steady_time Now) {
  Stored.clear();
  for (const archived_crash &Crash : Crashes)
    Stored.emplace(keyOf(Crash), Crash);
  StoredRevision = Revision;
  Changes.push_back(Now);
  if (Changes.size() > WritesPerWindow)
    Changes.pop_front();
}

void crash_archive::onRemoved() {
  Stored.clear();
  StoredRevision = {};
  IsUnreadable = false;
}

std::size_t crash_archive::weightOf(group Crashes) {
  std::vector<crash_time> Standing;
  for (const crash_record &Record : Crashes)
    if (Record.Refutation == crash_refutation::None)
      Standing.emplace_back(Record.At, Record.CoincidenceTime);
  return countIndependent(std::move(Standing));
}

void crash_archive::addGroup(std::vector<ranked_crash> &Ranked,
                             crash_cause Cause, group Crashes, steady_time Now,
                             unix_millis WallNow) const {
  const std::size_t Weight = weightOf(Crashes);
  for (const crash_record &Record : Crashes) {
    const bool Counts =
        Record.Refutation == crash_refutation::None && Weight >= MinimumWeight;
    const crash_key Key{Cause, Record.Fingerprint, Record.Endpoint};
    if (Counts || Stored.contains(Key))
      Ranked.push_back({Weight,
                        {Cause, Record.Fingerprint, Record.Endpoint,
                         wallTimeOf(Record.At, Now, WallNow), Record.Refutation,
                         Record.CoincidenceTime}});
  }
}

void crash_archive::addLasting(std::vector<ranked_crash> &Ranked,
                               crash_cause Cause, const crash_records &Records,
                               steady_time Now, unix_millis WallNow) const {
  const std::vector<crash_record> All = Records.all();
  for (auto First = All.begin(); First != All.end();) {
    const auto End = std::find_if(First, All.end(), [&](const auto &Record) {
      return Record.Fingerprint != First->Fingerprint;
    });
    addGroup(Ranked, Cause, group(First, End), Now, WallNow);
    First = End;
  }
}

std::vector<archived_crash> crash_archive::lasting(steady_time Now,
                                                   unix_millis WallNow) const {
  std::vector<ranked_crash> Ranked;
  addLasting(Ranked, crash_cause::Request, Fleet.Quarantine.records(), Now,
             WallNow);
  addLasting(Ranked, crash_cause::PromptSegment,
             Fleet.PromptQuarantine.records(), Now, WallNow);
  // VMs that know the same choose the same.
  std::sort(Ranked.begin(), Ranked.end(),
            [](const ranked_crash &Left, const ranked_crash &Right) {
              if (Left.Weight != Right.Weight)
                return Left.Weight > Right.Weight;
              return keyOf(Left.Crash) < keyOf(Right.Crash);
            });
  std::vector<archived_crash> Crashes;
  for (ranked_crash &Each : Ranked)
    Crashes.push_back(std::move(Each.Crash));
  return Crashes;
}

bool crash_archive::isUnsaved(const archived_crash &Crash) const {
  const auto Found = Stored.find(keyOf(Crash));
  return Found == Stored.end() || Crash.Refutation > Found->second.Refutation ||
         Crash.CoincidenceTime < Found->second.CoincidenceTime;
}

void crash_archive::updateUnsaved(steady_time Now, unix_millis WallNow) {
  const auto Present = std::make_tuple(
      Fleet.Quarantine.records().digest(),
      Fleet.Quarantine.records().waitingDigest(),
      Fleet.PromptQuarantine.records().digest(),
      Fleet.PromptQuarantine.records().waitingDigest(), StoredRevision);
  if (Present == Seen)
    return;
  Seen = Present;
  Wanted = lasting(Now, WallNow);
  LeftOut = Wanted.size() - std::min(Wanted.size(), MaximumCrashes);
  Wanted.resize(Wanted.size() - LeftOut);
  const bool IsAnyUnsaved =
      std::any_of(Wanted.begin(), Wanted.end(),
                  [this](const auto &Crash) { return isUnsaved(Crash); });
  UnsavedSince =
      IsAnyUnsaved ? std::optional(UnsavedSince.value_or(Now)) : std::nullopt;
}

bool crash_archive::isWriter(steady_time Now) const {
  const auto Takeovers = (Now - *UnsavedSince) / TakeoverTime;
  return Fleet.Members.isAmongPreferred(
      "crash-archive", Fleet.Self, 1 + static_cast<std::size_t>(Takeovers));
}

bool crash_archive::mayWrite(steady_time Now) const {
  if (!Changes.empty() && Now - Changes.back() < MinimumInterval)
    return false;
  return Changes.size() < WritesPerWindow ||
         Now - Changes.front() >= WriteWindow;
}

void crash_archive::advance(steady_time Now, unix_millis WallNow) {
  updateUnsaved(Now, WallNow);
  if (!UnsavedSince || IsWriting || IsUnreadable)
    return;
  if (isWriter(Now) && mayWrite(Now) && Now >= NextTryAt)
    write(Now);
}

void crash_archive::write(steady_time Now) {
  IsWriting = true;
  NextTryAt = Now + RetryInterval;
  const std::string Value = encodeArchivedCrashes(Wanted);
  Log.write(log_level::Info, "crash_archive_writing",
            {{"crashes", std::to_string(Wanted.size())},
             {"bytes", std::to_string(Value.size())},
             {"left_out", std::to_string(LeftOut)}});
  store_transaction Transaction;
  Transaction.Conditions.push_back({CrashArchiveKey, StoredRevision});
  Transaction.Puts.push_back({CrashArchiveKey, Value, NoLease});
  Store.commit(
      std::move(Transaction),
      [this, Now, Written = Wanted](const result<store_revision> &Result) {
        IsWriting = false;
        if (!isError(Result)) {
          NextTryAt = Now;
          return onChanged(Written, valueOf(Result), Now);
        }
        // The watch tells what stands there, after a conflict, too.
        Log.write(log_level::Info, "crash_archive_not_written",
                  {{"reason", errorOf(Result).Message}});
      });
}

} // namespace azurehaven
