#include "LibEntry/configuration_poller.h"

#include "LibConfig/configuration_codec.h"
#include "LibControl/configuration_writer.h"

namespace azurehaven {

namespace {

constexpr std::size_t PollersPerDomain = 2;
/// A VM whose latest confirmation is older polls the store whatever its rank.
constexpr milliseconds MaximumConfirmationAge{1500};

} // namespace

bool configuration_poller::isPollNeeded() const {
  const steady_time Now = Services.Clock.now();
  if (Services.Members.rankInDomain(Now) < PollersPerDomain)
    return true;
  auto Confirmation = Services.Freshness.storeConfirmation(Now);
  return !Confirmation || Confirmation->first > MaximumConfirmationAge;
}

void configuration_poller::poll() {
  if (!isPollNeeded())
    return;
  const steady_time RequestedAt = Services.Clock.now();
  auto Entries = Services.Store.list(store_purpose::Configuration,
                                     ConfigurationKey, KnownRevision);
  if (isError(Entries)) {
    Services.Metrics.increment("azurehaven_store_poll_failures_total");
    return;
  }
  const auto Before = Services.Configuration.current();
  std::uint64_t ConfirmedVersion = Before->Version;
  for (const auto &Entry : valueOf(Entries)) {
    auto Decoded = decodeConfiguration(Entry.Value);
    if (isError(Decoded)) {
      Services.Log.write(log_level::Error, "unreadable_configuration",
                         {{"error", errorOf(Decoded).Message}});
      return;
    }
    KnownRevision = Entry.Revision;
    ConfirmedVersion = valueOf(Decoded).Version;
    if (Services.Configuration.replaceIfNewer(std::move(valueOf(Decoded)))) {
      Services.Router.configurationChanged(*Before,
                                           *Services.Configuration.current());
      Services.Log.write(
          log_level::Info, "configuration_in_force",
          {{"version", std::to_string(ConfirmedVersion)}, {"from", "store"}});
      Services.SendHeartbeatsNow();
    }
  }
  // If the store returned no entry, the stored configuration is unchanged since
  // KnownRevision. The configuration in force is at least as new: it was read
  // at that revision or received later from a peer.
  Services.Freshness.recordStoreConfirmation(ConfirmedVersion, RequestedAt);
}

} // namespace azurehaven
