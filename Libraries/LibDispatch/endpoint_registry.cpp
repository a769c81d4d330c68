#include "LibDispatch/endpoint_registry.h"

#include "LibDispatch/endpoint_health.h"
#include "LibDispatch/service_paths.h"
#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Time for which a leaving process start is remembered after its entry is
/// gone. A copy of the store, or a delayed entry, is far younger.
constexpr std::chrono::minutes LeavingRetention{10};

} // namespace

bool endpoint_record::isUsable(steady_time Now) const {
  return !Descriptor.IsLeaving && Now >= EjectedUntil &&
         isAdmittedAfterShedding(*this, Now) && RateLimit.allows(Now) &&
         Brittle.admits(Now);
}

endpoint_id processStartId(const endpoint_descriptor &Descriptor) {
  return endpoint_id(Descriptor.Id.text() + "/" +
                     std::to_string(Descriptor.Incarnation));
}

std::uint64_t endpointHash(const endpoint_id &Id) {
  return fingerprintOf(Id.text());
}

void endpoint_registry::put(const endpoint_descriptor &Descriptor) {
  auto &Record = ById[Descriptor.Id];
  const bool IsSameStart =
      Record && Record->Descriptor.Incarnation == Descriptor.Incarnation &&
      Record->Descriptor.Address == Descriptor.Address;
  const bool WasLeaving = IsSameStart && Record->Descriptor.IsLeaving;
  // Load and health of an earlier process start don't apply to a new one.
  if (!IsSameStart)
    Record = std::make_shared<endpoint_record>();
  Record->Descriptor = Descriptor;
  Record->Hash = endpointHash(Descriptor.Id);
  Record->StartHash = startHashOf(processStartId(Descriptor));
  // A process start never stops leaving: an entry that says otherwise is older.
  if (WasLeaving || isMarkedLeaving(Descriptor))
    Record->Descriptor.IsLeaving = true;
  Record->RemoveAt.reset();
  rebuildIndexes();
}

bool endpoint_registry::isMarkedLeaving(
    const endpoint_descriptor &Descriptor) const {
  auto Found = LeavingStarts.find(Descriptor.Id);
  return Found != LeavingStarts.end() &&
         Descriptor.Incarnation <= Found->second.Incarnation;
}

bool endpoint_registry::markLeaving(const endpoint_start &Start,
                                    steady_time Now) {
  auto [Marked, IsNew] = LeavingStarts.try_emplace(
      Start.Endpoint, leaving_start{Start.Incarnation, Now});
  if (!IsNew && Marked->second.Incarnation >= Start.Incarnation)
    return false;
  Marked->second = {Start.Incarnation, Now};
  const auto Record = find(Start.Endpoint);
  if (Record && Record->Descriptor.Incarnation <= Start.Incarnation)
    Record->Descriptor.IsLeaving = true;
  return true;
}

std::vector<endpoint_start> endpoint_registry::leavingStarts() const {
  std::vector<endpoint_start> Starts;
  for (const auto &[Id, Leaving] : LeavingStarts)
    if (ById.contains(Id))
      Starts.push_back({Id, Leaving.Incarnation});
  return Starts;
}

void endpoint_registry::remove(const endpoint_id &Id) {
  auto Found = ById.find(Id);
  if (Found == ById.end())
    return;
  // Requests that still hold the record must see that the endpoint left.
  Found->second->Descriptor.IsLeaving = true;
  ById.erase(Found);
  rebuildIndexes();
}

void endpoint_registry::scheduleRemoval(const endpoint_id &Id, steady_time At) {
  auto Found = ById.find(Id);
  if (Found != ById.end() && !Found->second->RemoveAt)
    Found->second->RemoveAt = At;
}

std::vector<endpoint_id> endpoint_registry::removeExpired(steady_time Now) {
  std::vector<endpoint_id> Expired;
  for (const auto &[Id, Record] : ById)
    if (Record->RemoveAt && *Record->RemoveAt <= Now)
      Expired.push_back(Id);
  for (const auto &Id : Expired)
    remove(Id);
  std::erase_if(LeavingStarts, [&](const auto &Entry) {
    return !ById.contains(Entry.first) &&
           Now - Entry.second.MarkedAt > LeavingRetention;
  });
  return Expired;
}

std::shared_ptr<endpoint_record>
endpoint_registry::find(const endpoint_id &Id) const {
  auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : Found->second;
}

std::shared_ptr<endpoint_record>
endpoint_registry::findProcessStart(const endpoint_id &Start) const {
  const std::size_t IdSize = Start.text().rfind('/');
  auto Record = find(endpoint_id(Start.text().substr(0, IdSize)));
  if (!Record || processStartId(Record->Descriptor) != Start)
    return nullptr;
  return Record;
}

const endpoint_list &
endpoint_registry::endpointsOf(const service_id &Service) const {
  static const endpoint_list None;
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

bool endpoint_registry::isReplacedAt(const network_address &Address,
                                     std::int64_t Incarnation) const {
  const auto Latest = LatestIncarnationAt.find(Address);
  return Latest != LatestIncarnationAt.end() && Latest->second > Incarnation;
}

void endpoint_registry::rebuildIndexes() {
  ByService.clear();
  LatestIncarnationAt.clear();
  for (const auto &[Id, Record] : ById) {
    const endpoint_descriptor &Descriptor = Record->Descriptor;
    ByService[Descriptor.Service].push_back(Record);
    const auto Latest =
        LatestIncarnationAt
            .try_emplace(Descriptor.Address, Descriptor.Incarnation)
            .first;
    Latest->second = std::max(Latest->second, Descriptor.Incarnation);
  }
}

} // namespace azurehaven
