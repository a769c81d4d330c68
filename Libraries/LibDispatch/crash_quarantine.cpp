#include "LibDispatch/crash_quarantine.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Distinct endpoints that must have crashed. A crash ends all requests that
/// run on the endpoint, so that one or two may be coincidence; a third one
/// without a successful response in between is not.
constexpr std::size_t QuarantineThreshold = 3;
/// The same for a request that was sound after crashes under it.
constexpr std::size_t SoundRequestThreshold = 5;
/// Endpoints that must have crashed under requests of one content before it is
/// recorded for VMs that can't derive it.
constexpr std::size_t ContentThreshold = 2;

bool isAnySound(const std::vector<crash_record> &Crashes) {
  return std::any_of(
      Crashes.begin(), Crashes.end(), [](const crash_record &Record) {
        return Record.Refutation == crash_refutation::SoundResponse;
      });
}

std::vector<crash_record> onePerEndpoint(std::vector<crash_record> Crashes) {
  const auto IsBefore = [](const crash_record &Left,
                           const crash_record &Right) {
    return Left.Endpoint < Right.Endpoint;
  };
  const auto IsSame = [](const crash_record &Left, const crash_record &Right) {
    return Left.Endpoint == Right.Endpoint;
  };
  std::stable_sort(Crashes.begin(), Crashes.end(), IsBefore);
  Crashes.erase(std::unique(Crashes.begin(), Crashes.end(), IsSame),
                Crashes.end());
  return Crashes;
}

} // namespace

void crash_quarantine::addLocal(const request_fingerprint &Request,
                                const endpoint_id &Endpoint, crash_time Crash) {
  Records.add({Request.exact(), Endpoint, Crash.At, crash_refutation::None,
               Crash.CoincidenceTime},
              Crash.At);
  recordContent(Request.family(), Request.content(), Crash.At);
}

// Most requests that a crash ends are in no other crash; their content is not
// recorded, as that would double the records.
void crash_quarantine::recordContent(request_family Family,
                                     std::uint64_t Content, steady_time Now) {
  const auto Crashes = onePerEndpoint(familyCrashes(Family, Content));
  if (Crashes.size() < ContentThreshold)
    return;
  for (const crash_record &Record : Crashes)
    Records.add({Content, Record.Endpoint, Record.At, crash_refutation::None,
                 Record.CoincidenceTime},
                Now);
  if (Sound.contains(Family))
    refuteContent(Family, Content);
}

bool crash_quarantine::merge(const crash_record &Record, steady_time Now) {
  const bool IsNews = Records.merge(Record, Now);
  // Another VM may know of no sound response.
  if (IsNews && Record.Refutation == crash_refutation::None)
    for (const auto &[Family, Content] : Sound.related(Record.Fingerprint))
      recordContent(Family, Content, Now);
  return IsNews;
}

void crash_quarantine::clear(const request_fingerprint &Request,
                             steady_time Now) {
  Records.refuteFingerprint(Request.exact());
  refuteContent(Request.family(), Request.content());
  Sound.add(Request, Now);
}

void crash_quarantine::refuteContent(request_family Family,
                                     std::uint64_t Content) {
  for (const crash_record &Record : Records.recordsOf(Content))
    if (mayBelongTo(Family, Content, Record.Endpoint))
      Records.refute(Content, Record.Endpoint, crash_refutation::SoundResponse);
}

std::vector<crash_record>
crash_quarantine::familyCrashes(request_family Family,
                                std::uint64_t Content) const {
  std::vector<crash_record> Crashes =
      Records.recordsBetween(Family.firstExact(), Family.lastExact());
  for (const crash_record &Record : Records.recordsOf(Content))
    if (mayBelongTo(Family, Content, Record.Endpoint))
      Crashes.push_back(Record);
  return Crashes;
}

bool crash_quarantine::isQuarantined(const request_fingerprint &Request) const {
  return isExactQuarantined(Request.exact()) || isContentQuarantined(Request);
}

bool crash_quarantine::isExactQuarantined(std::uint64_t Exact) const {
  std::vector<crash_record> Standing = Records.standingOf(Exact);
  if (Standing.size() < QuarantineThreshold)
    return false;
  const std::size_t Threshold = Records.hasSoundResponse(Exact)
                                    ? SoundRequestThreshold
                                    : QuarantineThreshold;
  // While endpoints are silent, sound requests are sent to them as well.
  std::erase_if(Standing, [this](const crash_record &Record) {
    return Records.hadCrashedBefore(Record);
  });
  return countIndependentCrashes(Standing) >= Threshold;
}

bool crash_quarantine::isContentQuarantined(
    const request_fingerprint &Request) const {
  const request_family Family = Request.family();
  if (Sound.contains(Family))
    return false;
  std::vector<crash_record> Crashes = familyCrashes(Family, Request.content());
  if (Crashes.size() < QuarantineThreshold || isAnySound(Crashes))
    return false;
  std::erase_if(Crashes, [this](const crash_record &Record) {
    return Record.Refutation != crash_refutation::None ||
           Records.hadCrashedBefore(Record);
  });
  Crashes = onePerEndpoint(std::move(Crashes));
  return countIndependentCrashes(Crashes) >= QuarantineThreshold &&
         !hasOneCause(Family, Crashes);
}

bool crash_quarantine::mayBelongTo(request_family Family, std::uint64_t Content,
                                   const endpoint_id &Endpoint) const {
  const auto Requests = Records.fingerprintsAt(
      Endpoint, request_fingerprint::firstExactOf(Content),
      request_fingerprint::lastExactOf(Content));
  const auto IsOfFamily = [Family](std::uint64_t Exact) {
    return request_fingerprint::familyOf(Exact) == Family;
  };
  return Requests.empty() ||
         std::any_of(Requests.begin(), Requests.end(), IsOfFamily);
}

bool crash_quarantine::hasOneCause(
    request_family Family, const std::vector<crash_record> &Crashes) const {
  const auto Suspects = Records.fingerprintsAt(
      Crashes.front().Endpoint, Family.firstExact(), Family.lastExact());
  return std::any_of(Suspects.begin(), Suspects.end(), [&](auto Suspect) {
    return std::all_of(Crashes.begin(), Crashes.end(),
                       [&](const crash_record &Record) {
                         return Records.contains(Suspect, Record.Endpoint);
                       });
  });
}

void crash_quarantine::expire(steady_time Now) {
  Records.expire(Now);
  Sound.expire(Now);
}

} // namespace azurehaven
