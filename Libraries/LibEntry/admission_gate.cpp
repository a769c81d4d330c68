#include "LibEntry/admission_gate.h"

namespace azurehaven {

std::variant<admission_ticket, shed>
admission_gate::waitForAdmission(const version_id &Version,
                                 const admission_request &Request,
                                 steady_time Now) {
  std::unique_lock Lock(Mutex);
  // Holds the lock from admit() to wait(): an outcome published in between
  // would be overwritten below.
  auto Result = Router.admit(Version, Request, Now);
  if (auto *Admitted = std::get_if<admitted>(&Result))
    return Admitted->Ticket;
  if (auto *Shed = std::get_if<shed>(&Result))
    return *Shed;
  const queue_key Key{Version, std::get<queued>(Result).Ticket};
  Outcomes[Key] = std::nullopt;
  Changed.wait(Lock, [&] { return Outcomes[Key].has_value(); });
  auto Outcome = *Outcomes[Key];
  Outcomes.erase(Key);
  return Outcome;
}

void admission_gate::release(const version_id &Version, admission_ticket Ticket,
                             milliseconds ServiceTime, steady_time Now) {
  std::lock_guard Lock(Mutex);
  publishProgress(Version, Router.release(Version, Ticket, ServiceTime, Now));
}

void admission_gate::advance(steady_time Now) {
  std::lock_guard Lock(Mutex);
  for (const auto &[Version, Progress] : Router.advanceQueues(Now))
    publishProgress(Version, Progress);
}

void admission_gate::publishProgress(const version_id &Version,
                                     const admission_progress &Progress) {
  for (admission_ticket Ticket : Progress.Admitted)
    Outcomes[{Version, Ticket}] = Ticket;
  for (const auto &[Ticket, RetryAfter] : Progress.Shed)
    Outcomes[{Version, Ticket}] = shed{RetryAfter};
  if (!Progress.Admitted.empty() || !Progress.Shed.empty())
    Changed.notify_all();
}

} // namespace azurehaven
