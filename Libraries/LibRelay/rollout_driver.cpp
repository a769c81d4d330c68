#include "LibRelay/rollout_driver.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

namespace {

/// The other VMs publish an outcome too if the preferred VM has not done so
/// within this time.
constexpr milliseconds FallbackPublishDelay{300};
constexpr milliseconds RetryDelay{300};

} // namespace

std::string encodeRolloutRecord(const rollout_record &Record) {
  return nlohmann::json{{"target", Record.Target},
                        {"began_unix_ms", Record.BeganAt.count()}}
      .dump();
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
  return rollout_record{
      Object["target"].get<std::string>(),
      unix_millis(Object["began_unix_ms"].get<std::int64_t>())};
}

rollout_surroundings rollout_driver::surroundings() const {
  rollout_surroundings Surroundings;
  Surroundings.VmCount = Fleet.Members.size();
  for (const auto &[Id, Endpoint] : Fleet.Endpoints.all())
    Surroundings.InFlight[Endpoint->Descriptor.Service] += Endpoint->InFlight;
  for (const auto &[Service, InFlight] : Surroundings.InFlight) {
    const endpoint_pool *Pool =
        Fleet.Routes ? Fleet.Routes->pool(Service) : nullptr;
    if (Pool && !Pool->Engine)
      Surroundings.PlainServices.insert(Service);
  }
  return Surroundings;
}

void rollout_driver::advance() {
  const steady_time Now = Clock.now();
  Fleet.Rollouts.judge(Fleet.ReleaseStatistics, surroundings(), Now);
  logPhaseChanges(Now);
  // A stopping process may exit before the store responds.
  if (Fleet.IsStopping)
    return;
  const auto Due = Fleet.Rollouts.outcomeUpdates(Now);
  for (const auto &Entry : Due) {
    pending_outcome &State = Pending[Entry.Order.Service];
    if (State.Outcome != Entry.Outcome || State.DueSince == steady_time()) {
      const bool IsPublishing = State.IsPublishing;
      State = {Entry.Outcome, Now, IsPublishing, Now};
    }
    const bool IsPreferredPublisher = Fleet.Members.isPreferredFor(
        RolloutPrefix + Entry.Order.Service.text(), Fleet.Self);
    const bool MayPublish =
        IsPreferredPublisher || Now - State.DueSince >= FallbackPublishDelay;
    if (MayPublish && !State.IsPublishing && Now >= State.RetryAt)
      publish(Entry, Now);
  }
}

void rollout_driver::logPhaseChanges(steady_time Now) {
  for (const auto &Summary : Fleet.Rollouts.summaries(Now)) {
    const logged_state State{Summary.Rule.Target, Summary.Rule.Phase,
                             Summary.IsShiftHeld};
    logged_state &Logged = LoggedStates[Summary.Service];
    if (Logged == State)
      continue;
    Log.write(log_level::Info, "rollout_phase_changed",
              {{"service", Summary.Service.text()},
               {"target", State.Target},
               {"phase", nameOf(State.Phase)},
               {"before", nameOf(Logged.Phase)},
               {"shift_held", State.IsShiftHeld ? "yes" : "no"},
               {"verdict", nameOf(Summary.Verdict)},
               {"share", std::to_string(Summary.Rule.TargetShare)},
               {"elapsed_ms", std::to_string(Summary.Elapsed.count())}});
    Logged = State;
  }
}

void rollout_driver::publish(const rollout_controller::outcome_update &Due,
                             steady_time Now) {
  const service_id Service = Due.Order.Service;
  pending_outcome &State = Pending[Service];
  State.IsPublishing = true;
  State.RetryAt = Now + RetryDelay;
  const rollout_record Record{
      Due.Order.Target, Clock.wallNow() - unix_millis(Due.Elapsed.count())};
  const release_counts Counts =
      Fleet.ReleaseStatistics.countsOf(Service, Due.Order.Target);
  const release_counts All = Fleet.ReleaseStatistics.countsOf(Service);
  Log.write(log_level::Info, "rollout_publishing",
            {{"service", Service.text()},
             {"target", Due.Order.Target},
             {"outcome", nameOf(Due.Outcome)},
             {"verdict", nameOf(Due.Verdict)},
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
      [this, Service, Outcome = Due.Outcome](result<store_revision> Result) {
        Pending[Service].IsPublishing = false;
        if (isError(Result))
          Log.write(log_level::Warning, "rollout_not_published",
                    {{"service", Service.text()},
                     {"outcome", nameOf(Outcome)},
                     {"reason", errorOf(Result).Message}});
      });
}

} // namespace azurehaven
