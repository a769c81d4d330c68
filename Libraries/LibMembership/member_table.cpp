#include "LibMembership/member_table.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr std::size_t NewNoticesPerFrame = 16;
constexpr std::size_t RepeatedNoticesPerFrame = 2;
constexpr std::size_t SendsPerNotice = 8;

bool supersedes(const member_notice &Left, const member_notice &Right) {
  if (Left.Incarnation != Right.Incarnation)
    return Left.Incarnation > Right.Incarnation;
  return Left.State > Right.State;
}

} // namespace

member_table::member_table(member_notice SelfNotice,
                           network_address SelfAddress,
                           member_timeouts Timeouts)
    : Self(std::move(SelfNotice)), SelfAddress(std::move(SelfAddress)),
      Timeouts(Timeouts), Notices(SendsPerNotice) {
  Notices.put(Self.Vm, Self);
}

void member_table::applyList(const std::vector<listed_vm> &List,
                             steady_time Now) {
  std::lock_guard Lock(Mutex);
  std::map<vm_id, member> Next;
  for (const auto &ListedVm : List) {
    if (ListedVm.Kind != vm_kind::Entry || ListedVm.Vm == Self.Vm)
      continue;
    auto Known = Members.find(ListedVm.Vm);
    member Member{ListedVm, Now, std::nullopt};
    if (Known != Members.end()) {
      Member.ListedSince = Known->second.ListedSince;
      Member.LastContact = Known->second.LastContact;
    }
    Next.emplace(ListedVm.Vm, std::move(Member));
  }
  Members = std::move(Next);
}

void member_table::recordContact(const vm_id &Vm, std::uint64_t Incarnation,
                                 steady_time Now) {
  std::lock_guard Lock(Mutex);
  auto Found = Members.find(Vm);
  if (Found != Members.end())
    Found->second.LastContact = Now;
  const member_notice *Known = Notices.find(Vm);
  if (!Known || Known->Incarnation < Incarnation)
    Notices.put(Vm, {Vm, Incarnation, member_state::Starting, {}});
}

void member_table::merge(const member_notice &Notice) {
  std::lock_guard Lock(Mutex);
  if (Notice.Vm == Self.Vm)
    return;
  const member_notice *Known = Notices.find(Notice.Vm);
  if (!Known || supersedes(Notice, *Known))
    Notices.put(Notice.Vm, Notice);
}

void member_table::advanceOwnState(member_state State) {
  std::lock_guard Lock(Mutex);
  if (State <= Self.State)
    return;
  Self.State = State;
  Notices.put(Self.Vm, Self);
}

member_state member_table::ownState() const {
  std::lock_guard Lock(Mutex);
  return Self.State;
}

std::vector<member_notice> member_table::takeNotices() {
  std::lock_guard Lock(Mutex);
  return Notices.take(NewNoticesPerFrame, RepeatedNoticesPerFrame);
}

std::map<vm_id, network_address> member_table::peerAddresses() const {
  std::lock_guard Lock(Mutex);
  std::map<vm_id, network_address> Addresses;
  for (const auto &[Vm, Member] : Members)
    if (Member.Listed.PeerAddress)
      Addresses.emplace(Vm, *Member.Listed.PeerAddress);
  return Addresses;
}

std::vector<entry_address> member_table::servingEntries(steady_time Now) const {
  std::lock_guard Lock(Mutex);
  std::vector<entry_address> Serving;
  if (Self.State == member_state::Serving)
    Serving.push_back({Self.Vm, Self.Domain, SelfAddress});
  for (const auto &[Vm, Member] : Members)
    if (isResponsive(Member, Now) && isServing(Vm))
      Serving.push_back({Vm, Member.Listed.Domain, Member.Listed.Address});
  return Serving;
}

std::vector<vm_id> member_table::responsivePeers(steady_time Now) const {
  std::lock_guard Lock(Mutex);
  std::vector<vm_id> OtherDomains;
  std::vector<vm_id> SameDomain;
  for (const auto &[Vm, Member] : Members)
    if (isResponsive(Member, Now))
      (Member.Listed.Domain == Self.Domain ? SameDomain : OtherDomains)
          .push_back(Vm);
  OtherDomains.insert(OtherDomains.end(), SameDomain.begin(), SameDomain.end());
  return OtherDomains;
}

bool member_table::hasLeftOrFailed(const vm_id &Vm, steady_time Now) const {
  std::lock_guard Lock(Mutex);
  auto Found = Members.find(Vm);
  if (Found == Members.end())
    return Vm != Self.Vm;
  const steady_time Last =
      Found->second.LastContact.value_or(Found->second.ListedSince);
  return Now - Last > Timeouts.FailureTimeout;
}

bool member_table::hasRestarted(const vm_id &Vm,
                                std::uint64_t Incarnation) const {
  std::lock_guard Lock(Mutex);
  const member_notice *Notice = Notices.find(Vm);
  return Notice && Notice->Incarnation > Incarnation;
}

std::size_t member_table::servingEntryCount(steady_time Now) const {
  return std::max<std::size_t>(1, servingEntries(Now).size());
}

std::size_t member_table::rankInDomain(steady_time Now) const {
  std::lock_guard Lock(Mutex);
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return Entry.second.Listed.Domain == Self.Domain &&
               Entry.first < Self.Vm && isResponsive(Entry.second, Now);
      }));
}

bool member_table::isResponsive(const member &Member, steady_time Now) const {
  return Member.LastContact &&
         Now - *Member.LastContact <= Timeouts.SuspicionTimeout;
}

bool member_table::isServing(const vm_id &Vm) const {
  const member_notice *Notice = Notices.find(Vm);
  return Notice && Notice->State == member_state::Serving;
}

} // namespace azurehaven
