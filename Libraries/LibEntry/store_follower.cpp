#include "LibEntry/store_follower.h"

#include "LibConfig/configuration_codec.h"
#include "LibControl/configuration_writer.h"

namespace azurehaven {

namespace {

constexpr std::size_t FollowersPerDomain = 2;
/// A VM without a confirmation this fresh asks whatever its rank.
constexpr milliseconds ConfirmationToSpare{1500};

} // namespace

bool store_follower::isAskingNeeded() const {
  const steady_time Now = Services.Clock.now();
  if (Services.Members.rankInDomain(Now) < FollowersPerDomain)
    return true;
  auto Confirmation = Services.Freshness.storeConfirmation(Now);
  return !Confirmation || Confirmation->first > ConfirmationToSpare;
}

void store_follower::poll() {
  if (!isAskingNeeded())
    return;
  const steady_time AskedAt = Services.Clock.now();
  auto Entries = Services.Store.list(store_purpose::Configuration,
                                     ConfigurationKey, KnownRevision);
  if (isError(Entries)) {
    Services.Metrics.increment("azurehaven_store_poll_failures_total");
    return;
  }
  const auto Before = Services.Configuration.current();
  std::uint64_t Confirmed = Before->Version;
  for (const auto &Entry : valueOf(Entries)) {
    auto Decoded = decodeConfiguration(Entry.Value);
    if (isError(Decoded)) {
      Services.Log.write(log_level::Error, "unreadable_configuration",
                         {{"error", errorOf(Decoded).Message}});
      return;
    }
    KnownRevision = Entry.Revision;
    Confirmed = valueOf(Decoded).Version;
    if (Services.Configuration.replaceIfNewer(std::move(valueOf(Decoded)))) {
      Services.Router.configurationChanged(*Before,
                                           *Services.Configuration.current());
      Services.Log.write(
          log_level::Info, "configuration_in_force",
          {{"version", std::to_string(Confirmed)}, {"from", "store"}});
      Services.SpreadNews();
    }
  }
  // An unchanged head is the one read at KnownRevision, or a later one that a
  // peer has told of; what is in force here is at least as new.
  Services.Freshness.recordStoreConfirmation(Confirmed, AskedAt);
}

} // namespace azurehaven
