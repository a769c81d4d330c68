#pragma once

#include "LibLog/event_log.h"
#include "LibRollout/rollout_controller.h"

#include <map>
#include <string>

namespace azurehaven {

/// Logs how roll-outs go on: each phase, and what the verdict rests on whenever
/// it changes, at least every other second. Used on the event loop only.
class rollout_log {
public:
  explicit rollout_log(const event_log &Log) : Log(Log) {}

  void update(const std::vector<rollout_controller::rollout_summary> &Summaries,
              steady_time Now);
  /// The judgement by which an outcome is published.
  void onDecided(const rollout_order &Order, milliseconds Elapsed,
                 const rollout_judgement &Judgement) const;

private:
  struct logged_state {
    std::string Target;
    rollout_phase Phase = rollout_phase::None;
    bool IsShiftPostponed = false;
    bool operator==(const logged_state &) const = default;
  };
  struct logged_verdict {
    release_verdict Verdict = release_verdict::Sound;
    bool IsCovered = true;
    steady_time At;
  };

  void updatePhase(const rollout_controller::rollout_summary &Summary);
  void updateVerdict(const rollout_controller::rollout_summary &Summary,
                     steady_time Now);
  void writeJudgement(const service_id &Service, const std::string &Target,
                      milliseconds Elapsed,
                      const rollout_judgement &Judgement) const;

  const event_log &Log;
  std::map<service_id, logged_state> States;
  std::map<service_id, logged_verdict> Verdicts;
};

} // namespace azurehaven
