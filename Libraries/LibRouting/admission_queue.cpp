#include "LibRouting/admission_queue.h"

#include <algorithm>
#include <utility>

namespace azurehaven {

namespace {

constexpr double ServiceTimeSmoothing = 0.05;
/// Queued requests allowed per unit of the concurrency limit.
constexpr std::size_t QueueLimitFactor = 4;
constexpr std::size_t MinimumQueueLimit = 8;
constexpr milliseconds MinimumRetryAfter{100};

} // namespace

void admission_queue::setRemoteInFlight(
    const std::map<client_account_id, std::uint32_t> &InFlightByAccount) {
  for (auto &[Account, Used] : Usage)
    Used.RemoteInFlight = 0;
  for (const auto &[Account, InFlightElsewhere] : InFlightByAccount)
    Usage[Account].RemoteInFlight = InFlightElsewhere;
}

double
admission_queue::relativeUsageOf(const admission_request &Request) const {
  auto Found = Usage.find(Request.Account);
  if (Found == Usage.end())
    return 0;
  return (Found->second.LocalInFlight + Found->second.RemoteInFlight) /
         std::max(0.001, Request.Share);
}

std::size_t admission_queue::queueLimit() const {
  return std::max(MinimumQueueLimit, QueueLimitFactor * ConcurrencyLimit);
}

milliseconds admission_queue::expectedWait() const {
  if (Running < ConcurrencyLimit && Waiting.empty())
    return milliseconds(0);
  const double Concurrency = std::max<std::uint32_t>(1, ConcurrencyLimit);
  const double Ahead = static_cast<double>(Waiting.size()) + 1;
  return milliseconds(
      static_cast<std::int64_t>(Ahead * MeanServiceMs / Concurrency));
}

milliseconds admission_queue::retryAfter() const {
  return std::max(MinimumRetryAfter, expectedWait());
}

admission_result admission_queue::admit(const admission_request &Request,
                                        steady_time Now) {
  const waiter Waiter{NextTicket++, Request};
  if (Running < ConcurrencyLimit && Waiting.empty()) {
    start(Waiter);
    return admitted{Waiter.Ticket};
  }
  if (Request.LatestStart <= Now)
    return shed{retryAfter()};
  Waiting.push_back(Waiter);
  ++Usage[Request.Account].Queued;
  if (Waiting.size() > queueLimit()) {
    auto Victim = firstToShed();
    const admission_ticket Ticket = Victim->Ticket;
    remove(Victim);
    if (Ticket == Waiter.Ticket)
      return shed{retryAfter()};
    EvictedTickets.emplace_back(Ticket, retryAfter());
  }
  return queued{Waiter.Ticket};
}

void admission_queue::start(const waiter &Waiter) {
  ++Running;
  ++Usage[Waiter.Request.Account].LocalInFlight;
  InFlight[Waiter.Ticket] = Waiter.Request.Account;
}

admission_queue::waiter_list::iterator
admission_queue::remove(waiter_list::iterator It) {
  account_usage &Account = Usage[It->Request.Account];
  if (Account.Queued > 0)
    --Account.Queued;
  return Waiting.erase(It);
}

admission_progress admission_queue::release(admission_ticket Ticket,
                                            milliseconds ServiceTime,
                                            steady_time Now) {
  auto Found = InFlight.find(Ticket);
  if (Found != InFlight.end()) {
    account_usage &Account = Usage[Found->second];
    --Account.LocalInFlight;
    --Running;
    InFlight.erase(Found);
    MeanServiceMs += ServiceTimeSmoothing *
                     (static_cast<double>(ServiceTime.count()) - MeanServiceMs);
  }
  return advance(Now);
}

bool admission_queue::cancel(admission_ticket Ticket) {
  auto Found =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const waiter &Waiter) {
        return Waiter.Ticket == Ticket;
      });
  if (Found == Waiting.end())
    return false;
  remove(Found);
  return true;
}

admission_progress admission_queue::advance(steady_time Now) {
  admission_progress Progress;
  Progress.Shed = std::exchange(EvictedTickets, {});
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (It->Request.LatestStart > Now) {
      ++It;
      continue;
    }
    Progress.Shed.emplace_back(It->Ticket, retryAfter());
    It = remove(It);
  }
  while (Running < ConcurrencyLimit && !Waiting.empty()) {
    auto Next = nextToAdmit();
    start(*Next);
    Progress.Admitted.push_back(Next->Ticket);
    remove(Next);
  }
  return Progress;
}

void admission_queue::addInFlightTo(
    std::map<client_account_id, std::uint32_t> &Totals) const {
  for (const auto &[Account, Used] : Usage)
    if (Used.LocalInFlight > 0)
      Totals[Account] += Used.LocalInFlight;
}

/// Returns the queued request of the account with the fewest requests in flight
/// relative to its share; ties go to the highest priority, then to the oldest.
admission_queue::waiter_list::iterator admission_queue::nextToAdmit() {
  auto Best = Waiting.begin();
  double LowestUsage = relativeUsageOf(Best->Request);
  for (auto It = std::next(Best); It != Waiting.end(); ++It) {
    const double RelativeUsage = relativeUsageOf(It->Request);
    const bool IsBetter = RelativeUsage < LowestUsage ||
                          (RelativeUsage == LowestUsage &&
                           It->Request.Priority > Best->Request.Priority);
    if (!IsBetter)
      continue;
    Best = It;
    LowestUsage = RelativeUsage;
  }
  return Best;
}

/// Returns the queued request of the account with the most requests (in flight
/// and queued) relative to its share; ties go to the lowest priority, then to
/// the newest.
admission_queue::waiter_list::iterator admission_queue::firstToShed() {
  const auto RelativeDemandOf = [this](const waiter &Waiter) {
    const account_usage &Account = Usage[Waiter.Request.Account];
    return (Account.LocalInFlight + Account.RemoteInFlight + Account.Queued) /
           std::max(0.001, Waiter.Request.Share);
  };
  auto Worst = Waiting.begin();
  double HighestDemand = RelativeDemandOf(*Worst);
  for (auto It = std::next(Worst); It != Waiting.end(); ++It) {
    const double RelativeDemand = RelativeDemandOf(*It);
    const bool IsWorse = RelativeDemand > HighestDemand ||
                         (RelativeDemand == HighestDemand &&
                          It->Request.Priority <= Worst->Request.Priority);
    if (!IsWorse)
      continue;
    Worst = It;
    HighestDemand = RelativeDemand;
  }
  return Worst;
}

} // namespace azurehaven
