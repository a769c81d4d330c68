#include "LibLedger/request_id_registry.h"

#include "LibTypes/fingerprint.h"
#include "LibTypes/verify.h"

#include <algorithm>
#include <mutex>

namespace azurehaven {

namespace {

/// Entries are kept longer than callers resend a request.
constexpr std::chrono::minutes RetentionTime{10};
/// Limits memory use, at about 100 bytes an entry; the oldest are removed
/// first.
constexpr std::size_t EntryLimit = 50000;
constexpr std::size_t NoticesPerFrame = 512;
/// Delivery of frames is not reliable: a frame may be lost with its connection.
constexpr std::size_t SendsPerNotice = 2;
/// Maximum number of queued notices; beyond it the oldest are dropped unsent.
constexpr std::size_t OutgoingNoticeLimit = 10000;

} // namespace

bool request_id_registry::beginRequest(const request_body_notice &Request,
                                       steady_time Now) {
  std::lock_guard Lock(Mutex);
  removeExpired(Now);
  auto Found = Entries.find(Request.Request);
  if (Found != Entries.end() && Found->second.BodyFingerprint != Request.Body)
    return false;
  ++findOrAdd(Request, Now).RunningRequests;
  return true;
}

void request_id_registry::markSent(const request_body_notice &Request) {
  std::lock_guard Lock(Mutex);
  auto Found = Entries.find(Request.Request);
  if (Found == Entries.end() || Found->second.IsSent)
    return;
  Found->second.IsSent = true;
  Outgoing.push_back({Request, SendsPerNotice});
  if (Outgoing.size() > OutgoingNoticeLimit)
    Outgoing.pop_front();
}

void request_id_registry::endRequest(const request_body_notice &Request) {
  std::lock_guard Lock(Mutex);
  auto Found = Entries.find(Request.Request);
  // The entry may have been removed by the age or memory limit.
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  if (Entry.RunningRequests > 0)
    --Entry.RunningRequests;
  if (Entry.RunningRequests == 0 && !Entry.IsSent)
    Entries.erase(Found);
}

void request_id_registry::merge(const request_body_notice &Notice,
                                steady_time Now) {
  std::lock_guard Lock(Mutex);
  removeExpired(Now);
  // An entry that exists keeps its body, because this VM may already have
  // accepted a caller's request under this id.
  findOrAdd(Notice, Now).IsSent = true;
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
request_id_registry::findOrAdd(const request_body_notice &Notice,
                               steady_time Now) {
  auto [Found, IsNew] = Entries.try_emplace(Notice.Request);
  if (IsNew) {
    Found->second.BodyFingerprint = Notice.Body;
    Found->second.AddedAt = Now;
    AdditionOrder.emplace_back(Now, Notice.Request);
  }
  return Found->second;
}

void request_id_registry::removeExpired(steady_time Now) {
  while (!AdditionOrder.empty()) {
    const auto [AddedAt, Request] = AdditionOrder.front();
    const bool IsExpired = Now - AddedAt > RetentionTime;
    if (!IsExpired && AdditionOrder.size() <= EntryLimit)
      return;
    AdditionOrder.pop_front();
    // An id that was freed and added again has a later element in the order.
    auto Found = Entries.find(Request);
    if (Found != Entries.end() && Found->second.AddedAt == AddedAt)
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
