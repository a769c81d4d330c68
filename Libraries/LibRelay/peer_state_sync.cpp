#include "LibRelay/peer_state_sync.h"

#include "LibRelay/endpoint_shares.h"
#include "LibRelay/rollout_notices.h"
#include "LibTypes/verify.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// The load that a VM reported is dropped after this time without a notice: its
/// requests have finished, or the endpoints report them themselves.
constexpr milliseconds PeerLoadTimeToLive{1500};
/// One in this many notices has all release counts.
constexpr std::uint64_t NoticesPerFullCounts = 10;
/// During a roll-out, one in this many notices has all pins of this VM.
constexpr std::uint64_t NoticesPerFullPins = 5;
/// Notices tell that a limit has ended for this long; one of them may be lost.
constexpr milliseconds EndedLimitNoticeTime{3000};
/// Of more leaving endpoints, each notice names the next so many.
constexpr std::size_t LeavingPerNotice = 32;
/// Notices tell for this long that a service has sent something.
constexpr milliseconds ReachedNoticeTime{2000};

} // namespace

bool peer_state_sync::sendsAllCounts() const {
  return NoticeCount % NoticesPerFullCounts == 0;
}

std::vector<release_counts_notice> peer_state_sync::releaseCounts() {
  const bool SendsAll = sendsAllCounts();
  std::vector<release_counts_notice> Notices;
  for (const auto &[Key, Counts] : Fleet.ReleaseStatistics.localReports()) {
    const bool IsSent = SentCounts[Key] == Counts;
    if (IsSent && !SendsAll)
      continue;
    SentCounts[Key] = Counts;
    Notices.push_back({Key.Service, Key.Release, Key.Route, Counts.Requests,
                       Counts.Failures, Counts.Slow, Counts.Attempts});
  }
  return Notices;
}

std::vector<endpoint_rate_notice> peer_state_sync::rateNotices() const {
  const steady_time Now = Clock.now();
  std::vector<endpoint_rate_notice> Notices;
  for (const auto &[Id, Endpoint] : Fleet.Endpoints.all()) {
    const rate_statement &Latest = Endpoint->RateLimit.latest();
    const bool IsNews = Now - Latest.At < EndedLimitNoticeTime;
    if (Latest.PerSecond || IsNews)
      Notices.push_back(
          {Endpoint->Hash, Endpoint->Descriptor.Incarnation, Latest.PerSecond,
           std::chrono::duration_cast<milliseconds>(Now - Latest.At)});
  }
  return Notices;
}

std::vector<brittle_service_notice> peer_state_sync::brittleNotices() const {
  const steady_time Now = Clock.now();
  std::vector<brittle_service_notice> Notices;
  for (const auto &[Service, Latest] : Fleet.BrittleServices.statements())
    if (Latest.PerSecond || Now - Latest.At < EndedLimitNoticeTime)
      Notices.push_back(
          {Service, Latest.PerSecond,
           std::chrono::duration_cast<milliseconds>(Now - Latest.At)});
  return Notices;
}

void peer_state_sync::applyBrittleServices(
    const std::vector<brittle_service_notice> &Services, steady_time Now) {
  for (const auto &Notice : Services)
    Fleet.BrittleServices.merge(Notice.Service,
                                {Notice.PerSecond, Now - Notice.Age});
  if (!Services.empty())
    updateBrittleQuotas(Fleet);
}

std::vector<reached_service_notice> peer_state_sync::reachedNotices() const {
  const steady_time Now = Clock.now();
  std::vector<reached_service_notice> Notices;
  for (const auto &[Service, Contact] : Fleet.Paths.lastContacts())
    if (Now - Contact.At < ReachedNoticeTime && !Fleet.Paths.isLost(Service))
      Notices.push_back(
          {Service, std::chrono::duration_cast<milliseconds>(Now - Contact.At),
           Contact.StartHash});
  return Notices;
}

std::vector<session_release_notice> peer_state_sync::sessionReleases() {
  const steady_time Now = Clock.now();
  std::vector<session_pin> Pins = Fleet.Pins.takeUnsent();
  const bool IsDue =
      NoticeCount % NoticesPerFullPins == 0 || std::exchange(HasNewPeer, false);
  const bool SendsAll = IsDue && Fleet.Rollouts.isAnyUndecided();
  if (SendsAll)
    Pins = Fleet.Pins.localPins(Now);
  std::vector<session_release_notice> Notices;
  Notices.reserve(Pins.size());
  for (const auto &Pin : Pins)
    Notices.push_back(
        {Pin.Session, Pin.Release,
         std::chrono::duration_cast<milliseconds>(Now - Pin.SeenAt)});
  return Notices;
}

std::vector<rollout_notice> peer_state_sync::rolloutNotices() const {
  std::vector<rollout_notice> Notices;
  for (const auto &[Service, State] : Fleet.Rollouts.states(Clock.now()))
    Notices.push_back(noticeOf(Service, State));
  return Notices;
}

void peer_state_sync::applyRollouts(const std::vector<rollout_notice> &Notices,
                                    steady_time Now) {
  for (const auto &Notice : Notices)
    Fleet.Rollouts.join(Notice.Service, rolloutStateOf(Notice), Now);
}

void peer_state_sync::applyRates(const std::vector<endpoint_rate_notice> &Rates,
                                 steady_time Now) {
  if (Rates.empty())
    return;
  std::unordered_map<std::uint64_t, const endpoint_rate_notice *> ByEndpoint;
  for (const auto &Rate : Rates)
    ByEndpoint[Rate.Endpoint] = &Rate;
  for (const auto &[Id, Endpoint] : Fleet.Endpoints.all()) {
    auto Found = ByEndpoint.find(Endpoint->Hash);
    if (Found == ByEndpoint.end() ||
        Found->second->Incarnation != Endpoint->Descriptor.Incarnation)
      continue;
    Endpoint->RateLimit.merge(
        {Found->second->PerSecond, Now - Found->second->Age}, Now);
    updateRateShare(Fleet, *Endpoint, Now);
  }
}

std::vector<leaving_notice> peer_state_sync::leavingNotices() const {
  const auto Starts = Fleet.Endpoints.leavingStarts();
  const std::size_t Count = std::min(Starts.size(), LeavingPerNotice);
  std::vector<leaving_notice> Notices;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const endpoint_start &Start =
        Starts[(NoticeCount * LeavingPerNotice + Index) % Starts.size()];
    Notices.push_back({Start.Endpoint, Start.Incarnation});
  }
  return Notices;
}

fleet_notice peer_state_sync::buildNotice() {
  fleet_notice Notice;
  ++NoticeCount;
  for (const auto &[Id, Endpoint] : Fleet.Endpoints.all())
    if (Endpoint->InFlight > 0)
      Notice.EndpointLoads.push_back(
          {Endpoint->Hash, Endpoint->InFlight,
           static_cast<std::uint32_t>(std::max(Endpoint->PromptWork, 0.0))});
  Notice.Releases = releaseCounts();
  Notice.ReleaseOutcomes = Evidence.notices(sendsAllCounts());
  Notice.Rates = rateNotices();
  Notice.BrittleServices = brittleNotices();
  Notice.ReachedServices = reachedNotices();
  Notice.Rollouts = rolloutNotices();
  Notice.SessionReleases = sessionReleases();
  Notice.LeavingEndpoints = leavingNotices();
  return Notice;
}

void peer_state_sync::broadcast() {
  std::map<vm_id, network_address> Addresses;
  for (const auto &Member : Fleet.Members.all())
    if (Member.Vm != Fleet.Self)
      Addresses[Member.Vm] = Member.PeerAddress;
  Peers.setPeers(Addresses);
  if (Addresses.empty())
    return;
  const steady_time Now = Clock.now();
  fleet_notice ToAll = buildNotice();
  ToAll.ClockReading = clockReadingAt(Now);
  Crashes.addNews(ToAll, Addresses.size(), Now);
  for (const auto &[Vm, Address] : Addresses) {
    fleet_notice Notice = ToAll;
    if (const auto Passed = Fleet.PassedConfirmations.confirmationFor(Vm))
      Notice.Confirmation = {Passed->Version, Passed->Incarnation,
                             Passed->ClockReading};
    Crashes.addFor(Vm, Notice, Now);
    Peers.send(Vm, std::move(Notice));
  }
}

void peer_state_sync::onFrame(const peer_frame &Frame) {
  const auto *Notice = std::get_if<fleet_notice>(&Frame.Message);
  if (!Notice)
    return;
  const steady_time Now = Clock.now();
  HasNewPeer |= std::exchange(KnownIncarnations[Frame.Sender],
                              Frame.Incarnation) != Frame.Incarnation;
  Fleet.Contacts.onNotice(Frame.Sender, Now);
  peer_loads &Reported = PeerLoads[Frame.Sender];
  Reported.At = Now;
  removeFromTotals(Reported.Loads);
  Reported.Loads = Notice->EndpointLoads;
  // An endpoint without load has no total.
  std::erase_if(Reported.Loads,
                [](const auto &Load) { return Load.InFlight == 0; });
  addToTotals(Reported.Loads);
  applyTotals();
  exchangeConfirmations(Frame, *Notice, Now);
  applyRates(Notice->Rates, Now);
  applyBrittleServices(Notice->BrittleServices, Now);
  for (const auto &Reached : Notice->ReachedServices)
    Fleet.Paths.onPeerReached(Frame.Sender, Reached.Service,
                              {Now - Reached.Age, Reached.ProcessStart});
  for (const auto &Release : Notice->Releases)
    Fleet.ReleaseStatistics.merge(
        Frame.Sender, Frame.Incarnation,
        {{Release.Service, Release.Release, Release.Route},
         {Release.Requests, Release.Failures, Release.Slow, Release.Attempts}});
  Evidence.onNotices(Frame.Sender, Frame.Incarnation, Notice->ReleaseOutcomes,
                     Now);
  for (const auto &SessionRelease : Notice->SessionReleases)
    Fleet.Pins.merge({SessionRelease.Session, SessionRelease.Release,
                      Now - SessionRelease.Age, pin_source::Peer});
  applyRollouts(Notice->Rollouts, Now);
  Crashes.onNotice(Frame.Sender, *Notice, Now);
  for (const auto &Leaving : Notice->LeavingEndpoints)
    Fleet.Endpoints.markLeaving({Leaving.Endpoint, Leaving.Incarnation}, Now);
}

void peer_state_sync::exchangeConfirmations(const peer_frame &Frame,
                                            const fleet_notice &Notice,
                                            steady_time Now) {
  Fleet.PassedConfirmations.onClockReading(Frame.Sender, Frame.Incarnation,
                                           Notice.ClockReading, Now);
  if (!Notice.Confirmation || !Fleet.Routes)
    return;
  const passed_confirmation Passed{Notice.Confirmation->Version,
                                   Notice.Confirmation->Incarnation,
                                   Notice.Confirmation->ClockReading};
  if (const auto At =
          provenTimeOf(Passed, Fleet.Routes->version(), Incarnation, Now))
    Fleet.Confirmation.confirm(*At);
}

void peer_state_sync::addToTotals(
    const std::vector<endpoint_load_notice> &Loads) {
  for (const auto &Load : Loads) {
    total_load &Total = Totals[Load.Endpoint];
    Total.InFlight += Load.InFlight;
    Total.PromptWork += Load.PromptWork;
  }
}

void peer_state_sync::removeFromTotals(
    const std::vector<endpoint_load_notice> &Loads) {
  for (const auto &Load : Loads) {
    auto Found = Totals.find(Load.Endpoint);
    VERIFY(Found != Totals.end());
    total_load &Total = Found->second;
    Total.InFlight -= Load.InFlight;
    Total.PromptWork -= Load.PromptWork;
    if (Total.InFlight == 0)
      Totals.erase(Found);
  }
}

void peer_state_sync::applyTotals() {
  for (const auto &[Id, Endpoint] : Fleet.Endpoints.all()) {
    auto Found = Totals.find(Endpoint->Hash);
    const total_load Total =
        Found == Totals.end() ? total_load{} : Found->second;
    Endpoint->PeersInFlight = static_cast<std::uint32_t>(Total.InFlight);
    Endpoint->PeersPromptWork = static_cast<double>(Total.PromptWork);
  }
}

void peer_state_sync::expire() {
  const steady_time Now = Clock.now();
  Fleet.PassedConfirmations.expire(Now);
  Crashes.expire(Now);
  Evidence.expire(Now);
  Fleet.Contacts.expire(Now);
  const auto Removed = std::erase_if(PeerLoads, [&](const auto &Entry) {
    const bool IsExpired = Now - Entry.second.At > PeerLoadTimeToLive;
    if (IsExpired)
      removeFromTotals(Entry.second.Loads);
    return IsExpired;
  });
  if (Removed > 0)
    applyTotals();
}

} // namespace azurehaven
