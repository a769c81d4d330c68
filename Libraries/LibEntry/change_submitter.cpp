#include "LibEntry/change_submitter.h"

#include "LibControl/configuration_writer.h"

#include <thread>

namespace azurehaven {

namespace {

constexpr milliseconds MajorityPollInterval{50};

} // namespace

result<submitted_change> submitChange(const entry_services &Services,
                                      const configuration_change &Change,
                                      milliseconds MajorityTimeout) {
  configuration_writer Writer(Services.Store);
  const auto Before = Services.Configuration.current();
  TRY(configuration Written, Writer.submit(Change, Services.Clock.wallNow()));
  const auto *Record = findChange(Written, Change.Id);
  submitted_change Submitted;
  Submitted.Version = Record ? Record->Version : Written.Version;
  const auto Roster = Written.Roster;
  if (Services.Configuration.replaceIfNewer(std::move(Written)))
    Services.Router.configurationChanged(*Before,
                                         *Services.Configuration.current());
  Services.Log.write(log_level::Info, "configuration_changed",
                     {{"version", std::to_string(Submitted.Version)},
                      {"kind", Change.Kind},
                      {"actor", Change.Actor},
                      {"change", Change.Id.text()}});
  const steady_time Deadline = Services.Clock.now() + MajorityTimeout;
  Services.SendHeartbeatsNow();
  while (true) {
    const steady_time Now = Services.Clock.now();
    if (Services.Freshness.isHeldByMajority(Submitted.Version, Roster, Now)) {
      Submitted.State = change_state::Accepted;
      return Submitted;
    }
    if (Now >= Deadline)
      return Submitted;
    std::this_thread::sleep_for(MajorityPollInterval);
    Services.SendHeartbeatsNow();
  }
}

} // namespace azurehaven
