#include "LibRelay/rollout_driver.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace azurehaven {

namespace {

/// The other VMs publish an outcome too if the preferred VM has not done so
/// within this time. It tells them at once of a final one; the beginning they
/// read from the store.
constexpr milliseconds FinalFallbackDelay{300};
constexpr milliseconds BeginningFallbackDelay{700};
constexpr milliseconds RetryDelay{300};

} // namespace

std::string encodeRolloutRecord(const rollout_record &Record) {
  nlohmann::json Object{{"target", Record.Target},
                        {"began_unix_ms", Record.BeganAt.count()}};
  if (Record.ShiftStart.count() > 0)
    Object["shift_start_ms"] = Record.ShiftStart.count();
  return Object.dump();
}

result<rollout_record> decodeRolloutRecord(const std::string &Text) {
  const auto Object = nlohmann::json::parse(Text, nullptr, false);
  const bool IsRecord = Object.is_object() && Object.contains("target") &&
                        Object["target"].is_string() &&
                        Object.contains("began_unix_ms") &&
                        Object["began_unix_ms"].is_number_integer();
  if (!IsRecord)
    return error{error_code::InvalidInput,
                 "roll-out record lacks a valid 'target' or 'began_unix_ms'"};
  rollout_record Record{
      Object["target"].get<std::string>(),
      unix_millis(Object["began_unix_ms"].get<std::int64_t>())};
  const auto ShiftStart = Object.find("shift_start_ms");
  if (ShiftStart != Object.end() && ShiftStart->is_number_integer())
    Record.ShiftStart = std::max(milliseconds(0),
                                 milliseconds(ShiftStart->get<std::int64_t>()));
  return Record;
}

rollout_surroundings rollout_driver::surroundings() const {
  rollout_surroundings Surroundings;
  for (const auto &[Id, Endpoint] : Fleet.Endpoints.all())
    Surroundings.InFlight[Endpoint->Descriptor.Service] +=
        Endpoint->InFlight + Endpoint->PeersInFlight;
  for (const auto &[Service, InFlight] : Surroundings.InFlight) {
    const endpoint_pool *Pool =
        Fleet.Routes ? Fleet.Routes->pool(Service) : nullptr;
    if (Pool && !Pool->Engine)
      Surroundings.PlainServices.insert(Service);
  }
  std::vector<vm_id> Others;
  for (const member_entry &Member : Fleet.Members.all())
    if (Member.Vm != Fleet.Self)
      Others.push_back(Member.Vm);
  Surroundings.Coverage = Fleet.Contacts.coverage(Others, Clock.now());
  return Surroundings;
}

void rollout_driver::advance() {
  const steady_time Now = Clock.now();
  Fleet.Rollouts.judge(Fleet.ReleaseStatistics, surroundings(), Now);
  RolloutLog.update(Fleet.Rollouts.summaries(Now), Now);
  announceNews();
  // A stopping process may exit before the store responds.
  if (Fleet.IsStopping)
    return;
  const auto Due = Fleet.Rollouts.outcomeUpdates(Now);
  for (const auto &Entry : Due) {
    pending_outcome &State = Pending[Entry.Order.Service];
    const bool IsKnown = State.DueSince != steady_time() &&
                         State.Outcome == Entry.Outcome &&
                         State.ShiftStart == Entry.ShiftStart;
    if (!IsKnown) {
      const bool IsPublishing = State.IsPublishing;
      State = {Entry.Outcome, Now, Entry.ShiftStart, IsPublishing, Now};
    }
    const bool IsPreferredPublisher = Fleet.Members.isPreferredFor(
        RolloutPrefix + Entry.Order.Service.text(), Fleet.Self);
    const milliseconds FallbackDelay =
        Entry.Outcome == rollout_outcome::InProgress ? BeginningFallbackDelay
                                                     : FinalFallbackDelay;
    const bool MayPublish =
        IsPreferredPublisher || Now - State.DueSince >= FallbackDelay;
    if (MayPublish && !State.IsPublishing && Now >= State.RetryAt)
      publish(Entry, Now);
  }
}

void rollout_driver::publish(const rollout_controller::outcome_update &Due,
                             steady_time Now) {
  const service_id Service = Due.Order.Service;
  pending_outcome &State = Pending[Service];
  State.IsPublishing = true;
  State.RetryAt = Now + RetryDelay;
  const rollout_record Record{
      Due.Order.Target, Clock.wallNow() - unix_millis(Due.Elapsed.count()),
      Due.ShiftStart};
  const release_counts Counts =
      Fleet.ReleaseStatistics.countsOf(Service, Due.Order.Target);
  const release_counts All = Fleet.ReleaseStatistics.countsOf(Service);
  if (Due.Outcome != rollout_outcome::InProgress)
    RolloutLog.onDecided(Due.Order, Due.Elapsed, Due.Judgement);
  Log.write(log_level::Info, "rollout_publishing",
            {{"service", Service.text()},
             {"target", Due.Order.Target},
             {"outcome", nameOf(Due.Outcome)},
             {"verdict", nameOf(Due.Judgement.Verdict)},
             {"elapsed_ms", std::to_string(Due.Elapsed.count())},
             {"attempts", std::to_string(Counts.Attempts)},
             {"requests", std::to_string(Counts.Requests)},
             {"failures", std::to_string(Counts.Failures)},
             {"slow", std::to_string(Counts.Slow)},
             {"service_attempts", std::to_string(All.Attempts)},
             {"service_requests", std::to_string(All.Requests)},
             {"service_failures", std::to_string(All.Failures)},
             {"service_slow", std::to_string(All.Slow)}});
  Publisher.publish(
      Due.Order, Due.Outcome, Due.PublishedRevision,
      {{RolloutPrefix + Service.text(), encodeRolloutRecord(Record), NoLease}},
      [this, Due](const result<store_revision> &Result) {
        onPublished(Due, Result);
      });
}

void rollout_driver::onPublished(
    const rollout_controller::outcome_update &Update,
    const result<store_revision> &Result) {
  const service_id &Service = Update.Order.Service;
  Pending[Service].IsPublishing = false;
  if (isError(Result)) {
    Log.write(log_level::Warning, "rollout_not_published",
              {{"service", Service.text()},
               {"outcome", nameOf(Update.Outcome)},
               {"reason", errorOf(Result).Message}});
    return;
  }
  // The watch delivers the change later.
  Fleet.Rollouts.onOutcome(Service, Update.Order.Target, Update.Outcome,
                           valueOf(Result));
  Fleet.Rollouts.onRecordedShift(Service, Update.Order.Target,
                                 Update.ShiftStart, valueOf(Result),
                                 Clock.now());
  announceNews();
}

void rollout_driver::announceNews() {
  if (Fleet.Rollouts.takeNews())
    Announcer.announce();
}

} // namespace azurehaven
