#include "LibFleet/member_registration.h"

namespace azurehaven {

namespace {

/// Time for which a crashed process is still reported to callers. With a
/// shorter lease, one slow renewal would remove a running process.
constexpr milliseconds LeaseTimeToLive{2500};
constexpr milliseconds RenewalInterval{800};
constexpr milliseconds RetryDelay{400};
/// An entry that was published is listed by then, unless something else removed
/// it.
constexpr milliseconds ListingTime{1000};

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

store_transaction member_registration::publication(store_lease Under) const {
  store_transaction Transaction;
  Transaction.Puts.push_back({memberKey(Self.Vm), encodeMember(Self), Under});
  return Transaction;
}

void member_registration::publishEntry(store_lease Granted) {
  if (Leaving) {
    Lease = Granted;
    return leave();
  }
  Store.commit(publication(Granted),
               [this, Granted](result<store_revision> Result) {
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

void member_registration::checkListed(bool IsListed) {
  if (IsListed || Leaving || Lease.isNone()) {
    MissingSince.reset();
    return;
  }
  const steady_time Now = Scheduler.now();
  if (!MissingSince)
    MissingSince = Now;
  if (Now - *MissingSince < ListingTime)
    return;
  MissingSince = Now;
  restoreEntry();
}

void member_registration::restoreEntry() {
  // A write under an earlier lease, carried out late, takes the entry with it
  // as that lease ends.
  Log.write(log_level::Warning, "member_entry_missing",
            {{"lease", std::to_string(Lease.Id)}});
  Store.commit(publication(Lease), [this](result<store_revision> Result) {
    if (isError(Result))
      Log.write(log_level::Warning, "member_entry_not_restored",
                {{"reason", errorOf(Result).Message}});
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
