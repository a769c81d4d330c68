#include "LibFleet/member_registration.h"

namespace azurehaven {

namespace {

/// Time for which a crashed process is still reported to callers. With a
/// shorter lease, one slow renewal would remove a running process.
constexpr milliseconds LeaseTimeToLive{2500};
constexpr milliseconds RenewalInterval{800};
constexpr milliseconds RetryDelay{400};

} // namespace

member_registration::member_registration(async_store &Store,
                                         event_scheduler &Scheduler,
                                         const event_log &Log,
                                         member_entry Self)
    : Store(Store), Scheduler(Scheduler), Log(Log), Self(std::move(Self)) {}

void member_registration::start() { acquireLease(); }

void member_registration::acquireLease() {
  if (Leaving)
    return;
  Store.grantLease(LeaseTimeToLive, [this](result<store_lease> Granted) {
    if (isError(Granted))
      return scheduleRetry(errorOf(Granted));
    publishEntry(valueOf(Granted));
  });
}

void member_registration::publishEntry(store_lease Granted) {
  if (Leaving) {
    Lease = Granted;
    return leave();
  }
  store_transaction Transaction;
  Transaction.Puts.push_back({memberKey(Self.Vm), encodeMember(Self), Granted});
  Store.commit(Transaction, [this, Granted](result<store_revision> Result) {
    if (isError(Result))
      return scheduleRetry(errorOf(Result));
    Lease = Granted;
    Log.write(log_level::Info, "member_registered",
              {{"lease", std::to_string(Granted.Id)}});
    if (Leaving)
      return leave();
    scheduleRenewal();
  });
}

void member_registration::scheduleRenewal() {
  Scheduler.runAfter(RenewalInterval, [this] { renewLease(); });
}

void member_registration::renewLease() {
  if (Leaving)
    return;
  Store.renewLease(Lease, [this](result<success> Result) {
    if (!isError(Result))
      return scheduleRenewal();
    if (errorOf(Result).Code != error_code::NotFound)
      return scheduleRenewal();
    Log.write(log_level::Warning, "member_lease_lapsed",
              {{"lease", std::to_string(Lease.Id)}});
    Lease = NoLease;
    acquireLease();
  });
}

void member_registration::scheduleRetry(const error &Error) {
  Log.write(log_level::Warning, "member_not_registered",
            {{"reason", Error.Message}});
  Scheduler.runAfter(RetryDelay, [this] { acquireLease(); });
}

void member_registration::leave() {
  Leaving = true;
  if (Lease.isNone())
    return;
  Store.endLease(Lease, [this](result<success> Result) {
    if (isError(Result))
      Log.write(log_level::Warning, "member_lease_not_ended",
                {{"reason", errorOf(Result).Message}});
  });
}

} // namespace azurehaven
