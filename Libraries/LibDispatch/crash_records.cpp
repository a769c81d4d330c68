#include "LibDispatch/crash_records.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>
#include <string>

namespace azurehaven {

std::uint64_t crash_records::digestOf(const entry_map::value_type &Entry) {
  const auto &[Key, Value] = Entry;
  std::string State = std::to_string(static_cast<unsigned>(Value.Refutation));
  if (Value.CoincidenceTime.count() > 0)
    State += "/" + std::to_string(Value.CoincidenceTime.count());
  return fingerprintOf(Key.second.text(), fingerprintOf(State, Key.first));
}

std::uint64_t &crash_records::digestFor(const entry &Entry) {
  return Entry.CoincidenceTime.count() == 0 ? Digest : WaitingDigest;
}

crash_record crash_records::recordOf(const entry_map::value_type &Entry) {
  const auto &[Key, Value] = Entry;
  return {Key.first, Key.second, Value.At, Value.Refutation,
          Value.CoincidenceTime};
}

void crash_records::setCoincidenceTime(entry_map::value_type &Entry,
                                       milliseconds Time) {
  digestFor(Entry.second) -= digestOf(Entry);
  Entry.second.CoincidenceTime = Time;
  digestFor(Entry.second) += digestOf(Entry);
}

void crash_records::setRefutation(entry_map::value_type &Entry,
                                  crash_refutation Refutation) {
  // The digest is a sum, so that the order of the changes has no effect.
  digestFor(Entry.second) -= digestOf(Entry);
  RefutedCount += Entry.second.Refutation == crash_refutation::None;
  Entry.second.Refutation = Refutation;
  digestFor(Entry.second) += digestOf(Entry);
}

crash_records::entry_map::iterator
crash_records::erase(entry_map::iterator Position) {
  digestFor(Position->second) -= digestOf(*Position);
  RefutedCount -= Position->second.Refutation != crash_refutation::None;
  News.erase(Position->first);
  return Entries.erase(Position);
}

void crash_records::evictOne() {
  // Refuted crashes go first, then the oldest ones.
  const auto Victim = std::min_element(
      Entries.begin(), Entries.end(), [](const auto &Left, const auto &Right) {
        const bool IsLeftRefuted =
            Left.second.Refutation != crash_refutation::None;
        const bool IsRightRefuted =
            Right.second.Refutation != crash_refutation::None;
        if (IsLeftRefuted != IsRightRefuted)
          return IsLeftRefuted;
        return Left.second.At < Right.second.At;
      });
  if (Victim != Entries.end())
    erase(Victim);
}

bool crash_records::merge(const crash_record &Record, steady_time Now) {
  // Otherwise VMs would pass on for ever what one of them has not dropped yet.
  if (Now - Record.At > RetentionTime)
    return false;
  const record_key Key{Record.Fingerprint, Record.Endpoint};
  const auto Found = Entries.find(Key);
  if (Found == Entries.end()) {
    if (Entries.size() >= MaximumRecords)
      evictOne();
    const auto Added = Entries
                           .emplace(Key, entry{Record.At, Record.Refutation,
                                               Record.CoincidenceTime})
                           .first;
    digestFor(Added->second) += digestOf(*Added);
    RefutedCount += Record.Refutation != crash_refutation::None;
    return true;
  }
  Found->second.At = std::min(Found->second.At, Record.At);
  const bool IsMoreCertain =
      Record.CoincidenceTime < Found->second.CoincidenceTime;
  if (IsMoreCertain)
    setCoincidenceTime(*Found, Record.CoincidenceTime);
  const bool IsRefuted = Record.Refutation > Found->second.Refutation;
  if (IsRefuted)
    setRefutation(*Found, Record.Refutation);
  return IsMoreCertain || IsRefuted;
}

bool crash_records::add(const crash_record &Record, steady_time Now) {
  if (!merge(Record, Now))
    return false;
  News.insert({Record.Fingerprint, Record.Endpoint});
  return true;
}

void crash_records::refute(entry_map::value_type &Entry,
                           crash_refutation Refutation) {
  setRefutation(Entry, Refutation);
  News.insert(Entry.first);
}

bool crash_records::refuteFingerprint(std::uint64_t Fingerprint) {
  bool IsChanged = false;
  for (auto Entry = Entries.lower_bound({Fingerprint, endpoint_id()});
       Entry != Entries.end() && Entry->first.first == Fingerprint; ++Entry) {
    if (Entry->second.Refutation == crash_refutation::SoundResponse)
      continue;
    refute(*Entry, crash_refutation::SoundResponse);
    IsChanged = true;
  }
  return IsChanged;
}

void crash_records::refute(std::uint64_t Fingerprint,
                           const endpoint_id &Endpoint,
                           crash_refutation Refutation) {
  const auto Entry = Entries.find({Fingerprint, Endpoint});
  if (Entry != Entries.end() && Entry->second.Refutation < Refutation)
    refute(*Entry, Refutation);
}

bool crash_records::refuteEndpoint(const endpoint_id &Endpoint) {
  bool IsChanged = false;
  for (auto &Entry : Entries) {
    const bool IsStanding = Entry.first.second == Endpoint &&
                            Entry.second.Refutation == crash_refutation::None;
    if (!IsStanding)
      continue;
    refute(Entry, crash_refutation::EndpointAlive);
    IsChanged = true;
  }
  return IsChanged;
}

bool crash_records::hasSoundResponse(std::uint64_t Fingerprint) const {
  for (auto Entry = Entries.lower_bound({Fingerprint, endpoint_id()});
       Entry != Entries.end() && Entry->first.first == Fingerprint; ++Entry)
    if (Entry->second.Refutation == crash_refutation::SoundResponse)
      return true;
  return false;
}

bool crash_records::hadCrashedBefore(const crash_record &Record) const {
  if (Record.CoincidenceTime.count() == 0)
    return false;
  const steady_time SentAt = Record.At - Record.CoincidenceTime;
  return std::any_of(Entries.begin(), Entries.end(), [&](const auto &Entry) {
    const auto &[Key, Value] = Entry;
    return Key.second == Record.Endpoint && Key.first != Record.Fingerprint &&
           Value.Refutation != crash_refutation::EndpointAlive &&
           Value.At <= SentAt;
  });
}

std::size_t crash_records::endpointCount(std::uint64_t Fingerprint) const {
  return standingOf(Fingerprint).size();
}

std::vector<std::uint64_t>
crash_records::fingerprintsAt(const endpoint_id &Endpoint, std::uint64_t First,
                              std::uint64_t Last) const {
  std::vector<std::uint64_t> Fingerprints;
  for (auto Entry = Entries.lower_bound({First, endpoint_id()});
       Entry != Entries.end() && Entry->first.first <= Last; ++Entry)
    if (Entry->first.second == Endpoint)
      Fingerprints.push_back(Entry->first.first);
  return Fingerprints;
}

std::vector<crash_record>
crash_records::recordsOf(std::uint64_t Fingerprint) const {
  return recordsBetween(Fingerprint, Fingerprint);
}

std::vector<crash_record>
crash_records::recordsBetween(std::uint64_t First, std::uint64_t Last) const {
  std::vector<crash_record> Records;
  for (auto Entry = Entries.lower_bound({First, endpoint_id()});
       Entry != Entries.end() && Entry->first.first <= Last; ++Entry)
    Records.push_back(recordOf(*Entry));
  return Records;
}

std::vector<crash_record>
crash_records::standingOf(std::uint64_t Fingerprint) const {
  std::vector<crash_record> Records = recordsOf(Fingerprint);
  std::erase_if(Records, [](const crash_record &Record) {
    return Record.Refutation != crash_refutation::None;
  });
  return Records;
}

std::vector<crash_record> crash_records::takeNews() {
  std::vector<crash_record> Records;
  for (const record_key &Key : std::exchange(News, {}))
    Records.push_back(recordOf(*Entries.find(Key)));
  return Records;
}

std::vector<crash_record> crash_records::all() const {
  std::vector<crash_record> Records;
  Records.reserve(Entries.size());
  for (const auto &Entry : Entries)
    Records.push_back(recordOf(Entry));
  return Records;
}

void crash_records::expire(steady_time Now) {
  for (auto Entry = Entries.begin(); Entry != Entries.end();)
    Entry = Now - Entry->second.At > RetentionTime ? erase(Entry)
                                                   : std::next(Entry);
}

} // namespace azurehaven
