#include "LibRelay/forwarding_peers.h"

#include "LibDispatch/placement.h"

namespace azurehaven {

std::shared_ptr<endpoint_record>
forwarding_peers::recordOf(const member_entry &Member) {
  auto &Record = Records[Member.Vm];
  const auto Incarnation = static_cast<std::int64_t>(Member.Incarnation);
  if (Record && Record->Descriptor.Incarnation == Incarnation)
    return Record;
  Record = std::make_shared<endpoint_record>();
  Record->Descriptor.Id = endpoint_id(Member.Vm.text());
  Record->Descriptor.Address = Member.ForwardingAddress;
  Record->Descriptor.Domain = Member.Domain;
  Record->Descriptor.Incarnation = Incarnation;
  return Record;
}

std::shared_ptr<endpoint_record>
forwarding_peers::select(const fleet_state &Fleet, const service_id &Service,
                         const std::set<endpoint_id> &Tried, steady_time Now) {
  std::erase_if(Records, [&](const auto &Entry) {
    return !Fleet.Members.find(Entry.first);
  });
  endpoint_list Candidates;
  for (const member_entry &Member : Fleet.Members.all()) {
    const bool IsCandidate = Member.Vm != Fleet.Self &&
                             Member.ForwardingAddress.Port != 0 &&
                             Fleet.Paths.isReachedBy(Member.Vm, Service, Now);
    if (IsCandidate)
      Candidates.push_back(recordOf(Member));
  }
  placement_parameters Parameters;
  Parameters.OwnDomain = Fleet.Domain;
  Parameters.Tried = Tried;
  return selectLeastLoaded(Candidates, Parameters, Now);
}

} // namespace azurehaven
