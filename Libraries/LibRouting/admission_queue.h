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
  /// Weight of the account in the fair division.
  double Share = 1;
  /// Of the class of work; lower ones are shed first.
  int Priority = 5;
  /// When waiting any longer would miss the request's bound.
  steady_time LatestStart;
};

using admission_ticket = std::uint64_t;

struct admitted {
  admission_ticket Ticket = 0;
};
struct queued {
  admission_ticket Ticket = 0;
};
/// Given up at once; nothing was sent.
struct shed {
  milliseconds RetryAfter{0};
};

using admission_result = std::variant<admitted, queued, shed>;

/// What became of queued requests after a change.
struct admission_progress {
  std::vector<admission_ticket> Admitted;
  std::vector<std::pair<admission_ticket, milliseconds>> Shed;
};

/// Divides the places of one version's endpoints among the accounts by
/// weighted max-min fairness, with borrowing: idle places go to whoever waits.
/// An account is judged by its requests on all VMs, as far as they are known.
/// Every queue is bounded, and a request that would start too late is refused
/// at once. Not thread-safe.
class admission_queue {
public:
  /// Places that this VM may fill. A lower limit takes effect as requests end.
  void setConcurrencyLimit(std::uint32_t Limit) { ConcurrencyLimit = Limit; }
  /// Requests of the account that other VMs run, by their latest word.
  void setRemoteInFlight(const client_account_id &Account,
                         std::uint32_t InFlight);

  admission_result admit(const admission_request &Request, steady_time Now);
  /// An admitted request has ended after this time.
  admission_progress release(admission_ticket Ticket, milliseconds ServiceTime,
                             steady_time Now);
  /// A queued request is no longer wanted. Returns false if it is not queued.
  bool cancel(admission_ticket Ticket);
  /// Sheds what can no longer start in time and admits what fits.
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
  /// Tickets pushed out by admit(), told by the next advance().
  std::vector<std::pair<admission_ticket, milliseconds>> EvictedTickets;
};

} // namespace azurehaven
