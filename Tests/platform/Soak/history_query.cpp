#include "Soak/history_query.h"

#include <algorithm>

namespace azurehaven::platform {

namespace {

bool overlaps(const fault_interval &Fault, steady_time From, steady_time To,
              milliseconds EffectTime) {
  const auto End =
      Fault.To == steady_time::max() ? Fault.To : Fault.To + EffectTime;
  return Fault.From <= To && From <= End;
}

} // namespace

std::string describe(const caller_record &Record) {
  return Record.Id.text() + " at " + Record.Entry + ", status " +
         std::to_string(Record.Status);
}

bool hasOverlappingFault(const soak_history &History, steady_time From,
                         steady_time To, const fault_predicate &Matches,
                         milliseconds EffectTime) {
  return std::any_of(
      History.FaultIntervals.begin(), History.FaultIntervals.end(),
      [&](const fault_interval &Fault) {
        return Matches(Fault) && overlaps(Fault, From, To, EffectTime);
      });
}

std::size_t runCount(const soak_history &History, const request_id &Id) {
  auto Found = History.Runs.find(Id);
  return Found == History.Runs.end() ? 0 : Found->second.size();
}

std::string targetOf(const std::string &Instance) {
  const auto First = Instance.find('-') + 1;
  return "endpoint " + Instance.substr(First, Instance.rfind('-') - First);
}

steady_time::duration awakeTime(const soak_history &History,
                                const std::string &Instance, steady_time From,
                                steady_time To) {
  auto Awake = To - From;
  for (const auto &Standstill : History.Standstills) {
    const auto Begin = std::max(Standstill.From, From);
    const auto End = std::min(Standstill.To, To);
    if (Standstill.Target == targetOf(Instance) && Begin < End)
      Awake -= End - Begin;
  }
  return Awake;
}

steady_time startWithoutStandstill(const soak_history &History,
                                   const request_id &Id,
                                   const endpoint_run &Run) {
  const auto Record =
      std::find_if(History.Records.begin(), History.Records.end(),
                   [&](const caller_record &Other) { return Other.Id == Id; });
  if (Record == History.Records.end())
    return Run.StartedAt;
  return Record->SentAt +
         awakeTime(History, Run.Endpoint, Record->SentAt, Run.StartedAt);
}

bool wasSentToPreviousBuild(const soak_history &History,
                            const caller_record &Record) {
  if (!History.HasPreviousBuild)
    return false;
  const auto FirstStop = std::find_if(
      History.FaultIntervals.begin(), History.FaultIntervals.end(),
      [&](const fault_interval &Fault) {
        return Fault.Kind == fault_kind::Stop && Fault.Target == Record.Entry;
      });
  return FirstStop == History.FaultIntervals.end() ||
         Record.SentAt < FirstStop->To;
}

} // namespace azurehaven::platform
