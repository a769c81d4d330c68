#include "LibEntry/heartbeat_service.h"

#include "LibConfig/configuration_codec.h"
#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

/// Peers that get a heartbeat request in one round. In a larger fleet, each
/// round selects another pseudo-random subset.
constexpr std::size_t MaximumPeersPerRound = 8;
constexpr std::size_t MaximumUsagesPerFrame = 32;
constexpr std::size_t MaximumTrackedRequests = 1000;

} // namespace

heartbeat_service::heartbeat_service(const entry_services &Services,
                                     peer_network &Network,
                                     custody_table &CustodyTable,
                                     std::uint64_t Incarnation)
    : Services(Services), Network(Network), CustodyTable(CustodyTable),
      Incarnation(Incarnation) {}

heartbeat heartbeat_service::makeHeartbeat(heartbeat_kind Kind,
                                           std::uint64_t Nonce) {
  const steady_time Now = Services.Clock.now();
  const auto Current = Services.Configuration.current();
  heartbeat Message;
  Message.Kind = Kind;
  Message.Nonce = Nonce;
  Message.ConfigVersion = Current->Version;
  // isCurrent() marks a restarted VM as recovered, so that mayVote() below is
  // up to date.
  (void)Services.Freshness.isCurrent(Current->Version, Current->Roster, Now);
  Message.MayVote = Services.Freshness.mayVote();
  if (auto Confirmation = Services.Freshness.storeConfirmation(Now)) {
    Message.ConfirmationAge = Confirmation->first;
    Message.ConfirmedVersion = Confirmation->second;
  }
  return Message;
}

void heartbeat_service::sendHeartbeats() {
  auto Peers = Services.Members.peerAddresses();
  std::uint64_t Nonce = 0;
  {
    std::lock_guard Lock(Mutex);
    Nonce = NextNonce++;
    RequestTimes[Nonce] = Services.Clock.now();
    if (RequestTimes.size() > MaximumTrackedRequests)
      RequestTimes.erase(RequestTimes.begin());
  }
  heartbeat Message = makeHeartbeat(heartbeat_kind::Request, Nonce);
  Message.Members = Services.Members.takeNotices();
  Message.Ratings = Services.Router.takeRatingNotices();
  Message.Crashes = Services.Router.takeCrashNotices();
  Services.PromptCrashes.takeNotices(Message, Services.Clock.now());
  Message.RequestBodies = Services.RequestIds.takeNotices();
  Message.Usage = Services.Router.inFlightByAccount();
  if (Message.Usage.size() > MaximumUsagesPerFrame)
    Message.Usage.resize(MaximumUsagesPerFrame);
  std::vector<vm_id> Recipients;
  for (const auto &[Vm, Address] : Peers)
    Recipients.push_back(Vm);
  if (Recipients.size() > MaximumPeersPerRound) {
    const std::string Round = std::to_string(Nonce);
    std::partial_sort(
        Recipients.begin(), Recipients.begin() + MaximumPeersPerRound,
        Recipients.end(), [&](const vm_id &Left, const vm_id &Right) {
          return rendezvousScore(Round, Left.text()) >
                 rendezvousScore(Round, Right.text());
        });
    Recipients.resize(MaximumPeersPerRound);
  }
  for (const auto &Vm : Recipients)
    Network.send(Vm, Message);
}

void heartbeat_service::receive(const peer_frame &Frame) {
  Services.Members.recordContact(Frame.Sender, Frame.Incarnation,
                                 Services.Clock.now());
  std::visit([&](const auto &Message) { handle(Frame, Message); },
             Frame.Message);
}

void heartbeat_service::mergeNotices(const heartbeat &Message) {
  for (const auto &Notice : Message.Members)
    Services.Members.merge(Notice);
  for (const auto &Notice : Message.Ratings)
    Services.Router.mergeRatingNotice(Notice);
  const steady_time Now = Services.Clock.now();
  for (const auto &Notice : Message.Crashes)
    Services.Router.addCrash(Notice, Now);
  Services.PromptCrashes.mergeNotices(Message, Now);
  for (const auto &Notice : Message.RequestBodies)
    Services.RequestIds.merge(Notice, Now);
}

void heartbeat_service::handle(const peer_frame &Frame,
                               const heartbeat &Message) {
  mergeNotices(Message);
  const steady_time Now = Services.Clock.now();
  if (Message.Kind == heartbeat_kind::Request) {
    Services.Router.setPeerUsage(Frame.Sender, Message.Usage, Now);
    Network.send(Frame.Sender,
                 makeHeartbeat(heartbeat_kind::Response, Message.Nonce));
  } else {
    std::optional<steady_time> RequestedAt;
    {
      std::lock_guard Lock(Mutex);
      auto Found = RequestTimes.find(Message.Nonce);
      if (Found != RequestTimes.end())
        RequestedAt = Found->second;
    }
    if (RequestedAt)
      Services.Freshness.recordPeerResponse(Frame.Sender, Message,
                                            *RequestedAt);
  }
  const std::uint64_t OwnVersion = Services.Configuration.current()->Version;
  if (Message.ConfigVersion > OwnVersion)
    Network.send(Frame.Sender, configuration_request{OwnVersion});
}

void heartbeat_service::handle(const peer_frame &Frame,
                               const configuration_request &Message) {
  const auto Current = Services.Configuration.current();
  if (Current->Version > Message.KnownVersion)
    Network.send(Frame.Sender,
                 configuration_snapshot{encodeConfiguration(*Current).dump()});
}

void heartbeat_service::handle(const peer_frame &Frame,
                               const configuration_snapshot &Message) {
  auto Decoded = decodeConfiguration(Message.Document);
  if (isError(Decoded)) {
    Services.Log.write(
        log_level::Warning, "bad_configuration_snapshot",
        {{"peer", Frame.Sender.text()}, {"error", errorOf(Decoded).Message}});
    return;
  }
  const auto Before = Services.Configuration.current();
  if (Services.Configuration.replaceIfNewer(std::move(valueOf(Decoded)))) {
    const auto After = Services.Configuration.current();
    Services.Router.configurationChanged(*Before, *After);
    Services.Log.write(log_level::Info, "configuration_in_force",
                       {{"version", std::to_string(After->Version)},
                        {"from", Frame.Sender.text()}});
  }
}

void heartbeat_service::handle(const peer_frame &Frame,
                               const custody_request &Message) {
  if (CustodyTable.hold({Frame.Sender, Frame.Incarnation}, Message.Bills))
    Network.send(Frame.Sender, custody_acknowledgement{Message.Nonce});
}

void heartbeat_service::handle(const peer_frame &Frame,
                               const custody_acknowledgement &Message) {
  Services.Bills.confirmCustody(Frame.Sender, Message.Nonce);
}

void heartbeat_service::handle(const peer_frame &Frame,
                               const custody_release &Message) {
  CustodyTable.release({Frame.Sender, Frame.Incarnation}, Message.Keys);
}

} // namespace azurehaven
