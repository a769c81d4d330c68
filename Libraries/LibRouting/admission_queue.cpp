#include "LibRouting/admission_queue.h"

#include <algorithm>
#include <utility>

namespace azurehaven {

namespace {

constexpr double ServiceSmoothing = 0.05;
/// Waiting requests allowed for each place.
constexpr std::size_t WaitersPerPlace = 4;
constexpr std::size_t LeastQueueBound = 8;
constexpr milliseconds LeastRetryAfter{100};

} // namespace

void admission_queue::setUsageElsewhere(const client_account_id &Account,
                                        std::uint32_t InFlight) {
  Usage[Account].Elsewhere = InFlight;
}

double admission_queue::pressureOf(const admission_request &Request) const {
  auto Found = Usage.find(Request.Account);
  if (Found == Usage.end())
    return 0;
  return (Found->second.Here + Found->second.Elsewhere) /
         std::max(0.001, Request.Share);
}

std::size_t admission_queue::queueBound() const {
  return std::max(LeastQueueBound, WaitersPerPlace * Limit);
}

milliseconds admission_queue::expectedWait() const {
  if (Running < Limit && Waiting.empty())
    return milliseconds(0);
  const double Places = std::max<std::uint32_t>(1, Limit);
  const double Ahead = static_cast<double>(Waiting.size()) + 1;
  return milliseconds(static_cast<std::int64_t>(Ahead * ServiceMs / Places));
}

milliseconds admission_queue::retryAfter() const {
  return std::max(LeastRetryAfter, expectedWait());
}

admission_result admission_queue::admit(const admission_request &Request,
                                        steady_time Now) {
  const waiter Waiter{NextTicket++, Request};
  if (Running < Limit && Waiting.empty()) {
    start(Waiter);
    return admitted{Waiter.Ticket};
  }
  if (Request.LatestStart <= Now)
    return shed{retryAfter()};
  Waiting.push_back(Waiter);
  ++Usage[Request.Account].Queued;
  if (Waiting.size() > queueBound()) {
    auto Victim = firstToShed();
    const admission_ticket Ticket = Victim->Ticket;
    remove(Victim);
    if (Ticket == Waiter.Ticket)
      return shed{retryAfter()};
    PushedOut.emplace_back(Ticket, retryAfter());
  }
  return queued{Waiter.Ticket};
}

void admission_queue::start(const waiter &Waiter) {
  ++Running;
  ++Usage[Waiter.Request.Account].Here;
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
                                            milliseconds Service,
                                            steady_time Now) {
  auto Found = InFlight.find(Ticket);
  if (Found != InFlight.end()) {
    account_usage &Account = Usage[Found->second];
    --Account.Here;
    --Running;
    InFlight.erase(Found);
    ServiceMs +=
        ServiceSmoothing * (static_cast<double>(Service.count()) - ServiceMs);
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
  Progress.Shed = std::exchange(PushedOut, {});
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (It->Request.LatestStart > Now) {
      ++It;
      continue;
    }
    Progress.Shed.emplace_back(It->Ticket, retryAfter());
    It = remove(It);
  }
  while (Running < Limit && !Waiting.empty()) {
    auto Next = nextToAdmit();
    start(*Next);
    Progress.Admitted.push_back(Next->Ticket);
    remove(Next);
  }
  return Progress;
}

void admission_queue::addUsageTo(
    std::map<client_account_id, std::uint32_t> &Totals) const {
  for (const auto &[Account, Used] : Usage)
    if (Used.Here > 0)
      Totals[Account] += Used.Here;
}

/// The waiting request of the account with the least use for its share;
/// within an account the highest priority first, then the oldest.
admission_queue::waiter_list::iterator admission_queue::nextToAdmit() {
  auto Best = Waiting.begin();
  double BestPressure = pressureOf(Best->Request);
  for (auto It = std::next(Best); It != Waiting.end(); ++It) {
    const double Pressure = pressureOf(It->Request);
    const bool IsBetter = Pressure < BestPressure ||
                          (Pressure == BestPressure &&
                           It->Request.Priority > Best->Request.Priority);
    if (!IsBetter)
      continue;
    Best = It;
    BestPressure = Pressure;
  }
  return Best;
}

/// The newest request of the account that waits most beyond its share; within
/// it the lowest priority first.
admission_queue::waiter_list::iterator admission_queue::firstToShed() {
  const auto DemandOf = [this](const waiter &Waiter) {
    const account_usage &Account = Usage[Waiter.Request.Account];
    return (Account.Here + Account.Elsewhere + Account.Queued) /
           std::max(0.001, Waiter.Request.Share);
  };
  auto Worst = Waiting.begin();
  double WorstDemand = DemandOf(*Worst);
  for (auto It = std::next(Worst); It != Waiting.end(); ++It) {
    const double Demand = DemandOf(*It);
    const bool IsWorse = Demand > WorstDemand ||
                         (Demand == WorstDemand &&
                          It->Request.Priority <= Worst->Request.Priority);
    if (!IsWorse)
      continue;
    Worst = It;
    WorstDemand = Demand;
  }
  return Worst;
}

} // namespace azurehaven
