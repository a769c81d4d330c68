#include "LibLedger/request_id_registry.h"

#include "LibTypes/fingerprint.h"
#include "LibTypes/verify.h"

#include <algorithm>
#include <mutex>

namespace azurehaven {

namespace {

/// How long an id stands for its body: longer than a caller's resends last.
constexpr std::chrono::minutes KeepTime{10};
/// Bound on memory, about 100 bytes each; the oldest go first.
constexpr std::size_t EntryLimit = 50000;
constexpr std::size_t NoticesPerFrame = 512;
/// Frames are datagrams in effect: one may be lost with its connection.
constexpr std::size_t SendsOfNotice = 2;
/// Notices that wait for a heartbeat; beyond it the oldest are not told.
constexpr std::size_t OutgoingLimit = 10000;

} // namespace

bool request_id_registry::beginRequest(const request_body_notice &Request,
                                       steady_time Now) {
  std::lock_guard Lock(Mutex);
  forgetOld(Now);
  auto Found = Entries.find(Request.Request);
  if (Found != Entries.end() && Found->second.Body != Request.Body)
    return false;
  ++add(Request, Now).Running;
  return true;
}

void request_id_registry::markSent(const request_body_notice &Request) {
  std::lock_guard Lock(Mutex);
  auto Found = Entries.find(Request.Request);
  if (Found == Entries.end() || Found->second.IsSent)
    return;
  Found->second.IsSent = true;
  Outgoing.push_back({Request, SendsOfNotice});
  if (Outgoing.size() > OutgoingLimit)
    Outgoing.pop_front();
}

void request_id_registry::endRequest(const request_body_notice &Request) {
  std::lock_guard Lock(Mutex);
  auto Found = Entries.find(Request.Request);
  // The bound on memory may have taken it.
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  if (Entry.Running > 0)
    --Entry.Running;
  if (Entry.Running == 0 && !Entry.IsSent)
    Entries.erase(Found);
}

void request_id_registry::merge(const request_body_notice &Notice,
                                steady_time Now) {
  std::lock_guard Lock(Mutex);
  forgetOld(Now);
  // What this VM serves itself goes first: its caller has been told so.
  add(Notice, Now).IsSent = true;
}

std::vector<request_body_notice> request_id_registry::takeNotices() {
  std::lock_guard Lock(Mutex);
  std::vector<request_body_notice> Taken;
  const std::size_t Count = std::min(Outgoing.size(), NoticesPerFrame);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    outgoing_notice Next = Outgoing.front();
    Outgoing.pop_front();
    Taken.push_back(Next.Notice);
    if (--Next.SendsLeft > 0)
      Outgoing.push_back(Next);
  }
  return Taken;
}

std::size_t request_id_registry::size() {
  std::lock_guard Lock(Mutex);
  return Entries.size();
}

request_id_registry::entry &
request_id_registry::add(const request_body_notice &Notice, steady_time Now) {
  auto [Found, IsNew] = Entries.try_emplace(Notice.Request);
  if (IsNew) {
    Found->second.Body = Notice.Body;
    Found->second.At = Now;
    Order.emplace_back(Now, Notice.Request);
  }
  return Found->second;
}

void request_id_registry::forgetOld(steady_time Now) {
  while (!Order.empty()) {
    const auto [At, Request] = Order.front();
    const bool IsOld = Now - At > KeepTime;
    if (!IsOld && Order.size() <= EntryLimit)
      return;
    Order.pop_front();
    // An id that was freed and taken again has a later place in the order.
    auto Found = Entries.find(Request);
    if (Found != Entries.end() && Found->second.At == At)
      Entries.erase(Found);
  }
}

request_body_notice makeRequestBodyNotice(const client_account_id &Account,
                                          const request_id &Request,
                                          std::uint64_t BodyFingerprint) {
  return {fingerprintOf(Request.text(), fingerprintOf(Account.text())),
          BodyFingerprint};
}

} // namespace azurehaven
