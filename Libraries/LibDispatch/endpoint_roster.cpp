#include "LibDispatch/endpoint_roster.h"

namespace azurehaven {

void endpoint_roster::put(const endpoint_facts &Facts) {
  auto &Record = ById[Facts.Id];
  const bool IsSame = Record &&
                      Record->Facts.Incarnation == Facts.Incarnation &&
                      Record->Facts.Address == Facts.Address;
  // What was learned of an earlier start says nothing of this one.
  if (!IsSame)
    Record = std::make_shared<endpoint_record>();
  Record->Facts = Facts;
  Record->RemoveAt.reset();
  rebuild();
}

void endpoint_roster::remove(const endpoint_id &Id) {
  auto Found = ById.find(Id);
  if (Found == ById.end())
    return;
  // Requests that still hold the record must see that it left.
  Found->second->Facts.IsLeaving = true;
  ById.erase(Found);
  rebuild();
}

void endpoint_roster::removeAt(const endpoint_id &Id, steady_time At) {
  auto Found = ById.find(Id);
  if (Found != ById.end() && !Found->second->RemoveAt)
    Found->second->RemoveAt = At;
}

std::vector<endpoint_id> endpoint_roster::removeDue(steady_time Now) {
  std::vector<endpoint_id> Due;
  for (const auto &[Id, Record] : ById)
    if (Record->RemoveAt && *Record->RemoveAt <= Now)
      Due.push_back(Id);
  for (const auto &Id : Due)
    remove(Id);
  return Due;
}

std::shared_ptr<endpoint_record>
endpoint_roster::find(const endpoint_id &Id) const {
  auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : Found->second;
}

const std::vector<std::shared_ptr<endpoint_record>> &
endpoint_roster::ofService(const service_id &Service) const {
  static const std::vector<std::shared_ptr<endpoint_record>> None;
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

std::vector<endpoint_id> endpoint_roster::ids() const {
  std::vector<endpoint_id> Ids;
  for (const auto &[Id, Record] : ById)
    Ids.push_back(Id);
  return Ids;
}

void endpoint_roster::rebuild() {
  ByService.clear();
  for (const auto &[Id, Record] : ById)
    ByService[Record->Facts.Service].push_back(Record);
}

} // namespace azurehaven
