#include "LibDispatch/endpoint_registry.h"

namespace azurehaven {

void endpoint_registry::put(const endpoint_descriptor &Descriptor) {
  auto &Record = ById[Descriptor.Id];
  const bool IsSameStart =
      Record && Record->Descriptor.Incarnation == Descriptor.Incarnation &&
      Record->Descriptor.Address == Descriptor.Address;
  // Load and health of an earlier process start don't apply to a new one.
  if (!IsSameStart)
    Record = std::make_shared<endpoint_record>();
  Record->Descriptor = Descriptor;
  Record->RemoveAt.reset();
  rebuildServiceIndex();
}

void endpoint_registry::remove(const endpoint_id &Id) {
  auto Found = ById.find(Id);
  if (Found == ById.end())
    return;
  // Requests that still hold the record must see that the endpoint left.
  Found->second->Descriptor.IsLeaving = true;
  ById.erase(Found);
  rebuildServiceIndex();
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
  return Expired;
}

std::shared_ptr<endpoint_record>
endpoint_registry::find(const endpoint_id &Id) const {
  auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : Found->second;
}

const std::vector<std::shared_ptr<endpoint_record>> &
endpoint_registry::endpointsOf(const service_id &Service) const {
  static const std::vector<std::shared_ptr<endpoint_record>> None;
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

std::vector<endpoint_id> endpoint_registry::ids() const {
  std::vector<endpoint_id> Ids;
  for (const auto &[Id, Record] : ById)
    Ids.push_back(Id);
  return Ids;
}

void endpoint_registry::rebuildServiceIndex() {
  ByService.clear();
  for (const auto &[Id, Record] : ById)
    ByService[Record->Descriptor.Service].push_back(Record);
}

} // namespace azurehaven
