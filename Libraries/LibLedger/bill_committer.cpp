#include "LibLedger/bill_committer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurehaven {

namespace {

/// States of written bills are kept for callers that haven't read them yet; the
/// oldest are dropped when there are more states than this.
constexpr std::size_t RetainedStateLimit = 20000;

} // namespace

bill_committer::bill_committer(store &Store, custody_client &Custody,
                               vm_id Self, std::uint64_t Incarnation,
                               bill_committer_settings Settings)
    : Store(Store), Custody(Custody), Self(std::move(Self)),
      Incarnation(Incarnation), Settings(Settings) {}

result<std::uint64_t> bill_committer::add(const bill &Bill) {
  std::lock_guard Lock(Mutex);
  if (Queue.size() + Counts.Unwritten >= Settings.UnwrittenBillLimit)
    return error{error_code::Unavailable,
                 "too many bills are waiting to be written to the store"};
  const std::uint64_t Ticket = NextTicket++;
  Queue.push_back({Ticket, encodeBill(Bill), Bill.key()});
  States[Ticket] = bill_state::Pending;
  Changed.notify_all();
  return Ticket;
}

bill_state bill_committer::waitUntilDurable(std::uint64_t Ticket,
                                            milliseconds Timeout) {
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Timeout, [&] {
    auto Found = States.find(Ticket);
    return Found == States.end() || Found->second != bill_state::Pending;
  });
  auto Found = States.find(Ticket);
  return Found == States.end() ? bill_state::Written : Found->second;
}

bill_state bill_committer::stateOf(std::uint64_t Ticket) {
  return waitUntilDurable(Ticket, milliseconds(0));
}

void bill_committer::waitForQueuedBills(milliseconds Timeout) {
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Timeout, [&] { return !Queue.empty(); });
}

void bill_committer::flush(steady_time Now) {
  if (Now < NextWriteAt)
    return;
  auto Segment = takeNewSegment();
  if (!Segment)
    return;
  NextWriteAt = Now + Settings.MinimumWriteInterval;
  if (!IsStoreUnavailable && write(*Segment) == write_outcome::Written) {
    completeSegment(Segment);
    return;
  }
  IsStoreUnavailable = true;
  requestCustody(Segment);
  std::lock_guard Lock(Mutex);
  Segment->NeedsRetry = true;
}

std::shared_ptr<bill_committer::segment> bill_committer::takeNewSegment() {
  std::lock_guard Lock(Mutex);
  if (Queue.empty())
    return nullptr;
  auto Segment = std::make_shared<segment>();
  Segment->Number = NextSegmentNumber++;
  while (!Queue.empty() && Segment->Bills.size() < Settings.BillsPerSegment) {
    Segment->Tickets.push_back(Queue.front().Ticket);
    Segment->Bills.push_back(std::move(Queue.front().Bill));
    Segment->Keys.push_back(std::move(Queue.front().Key));
    Queue.pop_front();
  }
  UnwrittenSegments[Segment->Number] = Segment;
  Counts.Unwritten += Segment->Bills.size();
  return Segment;
}

std::string bill_committer::storeKeyOf(const segment &Segment) const {
  char Number[24];
  std::snprintf(Number, sizeof Number, "%010llu",
                static_cast<unsigned long long>(Segment.Number));
  return BillPrefix + Self.text() + "/" + std::to_string(Incarnation) + "/" +
         Number;
}

bill_committer::write_outcome bill_committer::write(const segment &Segment) {
  const std::string Key = storeKeyOf(Segment);
  const std::string Value = nlohmann::json(Segment.Bills).dump();
  auto Written =
      Store.compareAndSwap(store_purpose::Bill, Key, Value, AbsentRevision);
  if (!isError(Written))
    return write_outcome::Written;
  // Only this process writes this key, so a conflict means that an earlier
  // write took effect although its response was lost.
  if (errorOf(Written).Code == error_code::Conflict)
    return write_outcome::Written;
  return write_outcome::Failed;
}

void bill_committer::completeSegment(const std::shared_ptr<segment> &Segment) {
  std::set<vm_id> RequestedPeers;
  {
    std::lock_guard Lock(Mutex);
    setState(*Segment, bill_state::Written);
    UnwrittenSegments.erase(Segment->Number);
    Counts.Unwritten -= Segment->Bills.size();
    Counts.Written += Segment->Bills.size();
    ++Counts.Segments;
    RequestedPeers = Segment->RequestedPeers;
    Changed.notify_all();
  }
  for (const auto &Peer : RequestedPeers)
    Custody.release(Peer, Segment->Keys);
}

void bill_committer::requestCustody(const std::shared_ptr<segment> &Segment) {
  std::vector<vm_id> Chosen;
  const auto Candidates = Custody.candidates();
  {
    std::lock_guard Lock(Mutex);
    // The copy of a peer that no longer responds doesn't count.
    std::set<vm_id> Responsive(Candidates.begin(), Candidates.end());
    std::erase_if(Segment->Holders,
                  [&](const vm_id &Vm) { return !Responsive.contains(Vm); });
    std::size_t Needed =
        Settings.CustodyCopies -
        std::min(Settings.CustodyCopies, Segment->Holders.size());
    for (const auto &Peer : Candidates) {
      if (Needed == 0)
        break;
      if (Segment->Holders.contains(Peer))
        continue;
      Chosen.push_back(Peer);
      Segment->RequestedPeers.insert(Peer);
      --Needed;
    }
  }
  for (const auto &Peer : Chosen)
    Custody.request(Peer, Segment->Number, Segment->Bills);
}

void bill_committer::confirmCustody(const vm_id &Peer, std::uint64_t Nonce) {
  std::lock_guard Lock(Mutex);
  auto Found = UnwrittenSegments.find(Nonce);
  if (Found == UnwrittenSegments.end())
    return;
  Found->second->Holders.insert(Peer);
  if (Found->second->Holders.size() < Settings.CustodyCopies)
    return;
  setState(*Found->second, bill_state::InCustody);
  Changed.notify_all();
}

void bill_committer::retryFailedSegments(steady_time Now) {
  if (Now < NextRetryAt)
    return;
  NextRetryAt = Now + Settings.StoreRetryInterval;
  std::vector<std::shared_ptr<segment>> Pending;
  {
    std::lock_guard Lock(Mutex);
    for (const auto &[Number, Segment] : UnwrittenSegments)
      if (Segment->NeedsRetry)
        Pending.push_back(Segment);
  }
  for (const auto &Segment : Pending) {
    if (write(*Segment) == write_outcome::Written) {
      completeSegment(Segment);
      continue;
    }
    for (const auto &Unwritten : Pending)
      requestCustody(Unwritten);
    return;
  }
  IsStoreUnavailable = false;
}

void bill_committer::setState(const segment &Segment, bill_state State) {
  for (std::uint64_t Ticket : Segment.Tickets) {
    auto Found = States.find(Ticket);
    if (Found == States.end())
      continue;
    if (State == bill_state::InCustody && Found->second == bill_state::Pending)
      ++Counts.InCustody;
    Found->second = State;
  }
  while (States.size() > RetainedStateLimit &&
         States.begin()->second == bill_state::Written)
    States.erase(States.begin());
}

bool bill_committer::isSafeToStop() {
  std::lock_guard Lock(Mutex);
  return Queue.empty() &&
         std::all_of(UnwrittenSegments.begin(), UnwrittenSegments.end(),
                     [&](const auto &Item) {
                       return Item.second->Holders.size() >=
                              Settings.CustodyCopies;
                     });
}

bill_committer_counts bill_committer::counts() {
  std::lock_guard Lock(Mutex);
  return Counts;
}

} // namespace azurehaven
