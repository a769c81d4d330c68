#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace azurehaven {

struct admission_request {
  client_account_id Account;
  /// Weight of the account in the fair sharing.
  double Share = 1;
  /// Priority of the class of work; lower ones are shed first.
  int Priority = 5;
  /// Latest start that still meets the request's deadline.
  steady_time LatestStart;
};

using admission_ticket = std::uint64_t;

struct admitted {
  admission_ticket Ticket = 0;
};
struct queued {
  admission_ticket Ticket = 0;
};
/// Rejected because of overload; nothing was sent to an endpoint.
struct shed {
  milliseconds RetryAfter{0};
};

using admission_result = std::variant<admitted, queued, shed>;

/// Queued requests that one call admitted or shed, the latter with the time
/// after which to retry.
struct admission_progress {
  std::vector<admission_ticket> Admitted;
  std::vector<std::pair<admission_ticket, milliseconds>> Shed;
};

/// Shares the concurrency limit of one version's endpoints among the accounts
/// by weighted max-min fairness, with borrowing: an account may use capacity
/// that no other account has queued requests for. The usage of an account
/// includes its requests on other VMs as last reported. The queue is bounded,
/// and a request that can't start at once is shed when its latest start has
/// passed.
/// Not thread-safe.
class admission_queue {
public:
  /// Sets how many requests this VM may have in flight. A lower limit takes
  /// effect as requests end.
  void setConcurrencyLimit(std::uint32_t Limit) { ConcurrencyLimit = Limit; }
  /// Sets the requests in flight on other VMs, as last reported; 0 for the
  /// accounts that are not among them.
  void setRemoteInFlight(
      const std::map<client_account_id, std::uint32_t> &InFlightByAccount);

  admission_result admit(const admission_request &Request, steady_time Now);
  /// Ends an admitted request that took ServiceTime, then advances the queue.
  admission_progress release(admission_ticket Ticket, milliseconds ServiceTime,
                             steady_time Now);
  /// Removes a queued request. Returns false if it is not queued.
  bool cancel(admission_ticket Ticket);
  /// Sheds the requests that can no longer start in time and admits others up
  /// to the concurrency limit.
  admission_progress advance(steady_time Now);

  milliseconds expectedWait() const;
  std::uint32_t inFlight() const { return Running; }
  void addInFlightTo(std::map<client_account_id, std::uint32_t> &Totals) const;
  std::size_t waiting() const { return Waiting.size(); }

private:
  struct account_usage {
    std::uint32_t LocalInFlight = 0;
    std::uint32_t RemoteInFlight = 0;
    std::uint32_t Queued = 0;
  };
  struct waiter {
    admission_ticket Ticket;
    admission_request Request;
  };
  using waiter_list = std::list<waiter>;

  /// The account's requests in flight on all VMs, divided by its share.
  double relativeUsageOf(const admission_request &Request) const;
  waiter_list::iterator nextToAdmit();
  waiter_list::iterator firstToShed();
  std::size_t queueLimit() const;
  milliseconds retryAfter() const;
  void start(const waiter &Waiter);
  waiter_list::iterator remove(waiter_list::iterator It);

  std::uint32_t ConcurrencyLimit = 1;
  std::uint32_t Running = 0;
  admission_ticket NextTicket = 1;
  double MeanServiceMs = 1000;
  waiter_list Waiting;
  std::map<client_account_id, account_usage> Usage;
  std::map<admission_ticket, client_account_id> InFlight;
  /// Tickets that admit() shed in favour of others; the next advance() returns
  /// them.
  std::vector<std::pair<admission_ticket, milliseconds>> EvictedTickets;
};

} // namespace azurehaven
