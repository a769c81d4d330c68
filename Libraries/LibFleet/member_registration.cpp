#include "LibFleet/member_registration.h"

namespace azurehaven {

namespace {

/// How long a process that has died stays in the answers to callers. Short of
/// it, one slow renewal would take a living one out.
constexpr milliseconds LeaseTime{2500};
constexpr milliseconds RenewEvery{800};
constexpr milliseconds RetryEvery{400};

} // namespace

member_registration::member_registration(async_store &Store,
                                         event_scheduler &Scheduler,
                                         const event_log &Log,
                                         member_entry Self)
    : Store(Store), Scheduler(Scheduler), Log(Log), Self(std::move(Self)) {}

void member_registration::start() { acquire(); }

void member_registration::acquire() {
  if (Leaving)
    return;
  Store.grantLease(LeaseTime, [this](result<lease_id> Granted) {
    if (isError(Granted))
      return retryLater(errorOf(Granted));
    publish(valueOf(Granted));
  });
}

void member_registration::publish(lease_id Granted) {
  if (Leaving)
    return;
  store_transaction Transaction;
  Transaction.Puts.push_back({memberKey(Self.Vm), encodeMember(Self), Granted});
  Store.commit(Transaction, [this, Granted](result<std::uint64_t> Result) {
    if (isError(Result))
      return retryLater(errorOf(Result));
    Lease = Granted;
    Log.write(log_level::Info, "member_registered",
              {{"lease", std::to_string(Granted)}});
    if (Leaving)
      return leave();
    renewLater();
  });
}

void member_registration::renewLater() {
  Scheduler.runAfter(RenewEvery, [this] { renew(); });
}

void member_registration::renew() {
  if (Leaving)
    return;
  Store.renewLease(Lease, [this](result<success> Result) {
    if (!isError(Result))
      return renewLater();
    if (errorOf(Result).Code != error_code::NotFound)
      return renewLater();
    Log.write(log_level::Warning, "member_lease_lapsed",
              {{"lease", std::to_string(Lease)}});
    Lease = NoLease;
    acquire();
  });
}

void member_registration::retryLater(const error &Error) {
  Log.write(log_level::Warning, "member_not_registered",
            {{"reason", Error.Message}});
  Scheduler.runAfter(RetryEvery, [this] { acquire(); });
}

void member_registration::leave() {
  Leaving = true;
  if (Lease == NoLease)
    return;
  Store.endLease(Lease, [this](result<success> Result) {
    if (isError(Result))
      Log.write(log_level::Warning, "member_lease_not_ended",
                {{"reason", errorOf(Result).Message}});
  });
}

} // namespace azurehaven
