#include "LibRouting/endpoint_table.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Loads (requests per slot) within this difference are treated as equal, so
/// that entry VMs with the same outdated reports do not all choose the same
/// endpoint.
constexpr double LoadTolerance = 0.1;
/// A request goes to the first of its prefix's AffinityCandidateCount endpoints
/// whose load is at most this multiple of the mean load, plus
/// AffinityLoadSlack. Source: Mirrokni et al., "Consistent hashing with
/// bounded loads".
constexpr double AffinityLoadFactor = 1.25;
/// In requests per slot; keeps the bound above 0 while the endpoints are idle.
constexpr double AffinityLoadSlack = 0.25;
constexpr std::size_t AffinityCandidateCount = 2;
constexpr double FirstTokenSmoothing = 0.2;
constexpr std::uint64_t MinimumLatencySamples = 5;
constexpr double LatencyOutlierFactor = 3;
constexpr std::uint32_t ConsecutiveFailuresToEject = 2;
constexpr milliseconds BaseEjectionTime{2000};
constexpr std::uint32_t MaximumEjectionDoublings = 4;
/// Largest share of interchangeable endpoints that may be ejected at the same
/// time; a single one may always be ejected.
constexpr double MaximumEjectedShare = 0.34;

} // namespace

void endpoint_table::applyList(const std::vector<listed_vm> &List) {
  std::map<endpoint_id, endpoint> Next;
  Entries = {Self};
  for (const auto &ListedVm : List) {
    if (ListedVm.Kind == vm_kind::Entry) {
      Entries.insert(ListedVm.Vm);
      continue;
    }
    endpoint_id Id(ListedVm.Vm.text());
    auto Known = Endpoints.find(Id);
    endpoint Endpoint;
    if (Known != Endpoints.end() &&
        Known->second.Listed.Address == ListedVm.Address)
      Endpoint = std::move(Known->second);
    Endpoint.Listed = ListedVm;
    // The list lags: an endpoint that reported that it is leaving stays
    // excluded even if the list does not say so yet.
    Endpoint.IsLeaving |= ListedVm.State == listed_state::Leaving;
    Next.emplace(Id, std::move(Endpoint));
  }
  Endpoints = std::move(Next);
}

void endpoint_table::updateReport(const endpoint_id &Id,
                                  const endpoint_report &Report,
                                  steady_time RequestedAt) {
  auto Found = Endpoints.find(Id);
  if (Found == Endpoints.end() || RequestedAt < Found->second.ReportCutoff)
    return;
  endpoint &Endpoint = Found->second;
  Endpoint.Report = Report;
  Endpoint.HasReport = true;
  Endpoint.HasFailedPoll = false;
  Endpoint.ReportCutoff = RequestedAt;
  Endpoint.InFlightChangeSinceReport = 0;
  Endpoint.RateLimit.observe(Report.RequestsPerSecond, RequestedAt,
                             RequestedAt);
  updateRateShare(Endpoint, RequestedAt);
  // An endpoint that restarted and is no longer leaving is usable again.
  Endpoint.IsLeaving =
      Report.IsLeaving || Endpoint.Listed.State == listed_state::Leaving;
}

void endpoint_table::recordPollFailure(const endpoint_id &Id, steady_time Now) {
  auto Found = Endpoints.find(Id);
  if (Found == Endpoints.end())
    return;
  ++Found->second.ConsecutiveFailures;
  Found->second.HasFailedPoll = true;
  Found->second.ReportCutoff = std::max(Found->second.ReportCutoff, Now);
  ejectIfUnhealthy(Found->second, Now);
}

void endpoint_table::markCrashed(const endpoint_id &Id, steady_time Now) {
  auto Found = Endpoints.find(Id);
  if (Found == Endpoints.end())
    return;
  Found->second.HasReport = false;
  Found->second.ReportCutoff = std::max(Found->second.ReportCutoff, Now);
}

void endpoint_table::updateRateShare(endpoint &Endpoint,
                                     steady_time Now) const {
  const auto &PerSecond = Endpoint.RateLimit.latest().PerSecond;
  if (!PerSecond)
    return;
  const std::size_t Holders =
      fleet_rate_limit::holderCount(*PerSecond, Entries.size());
  const std::string Task = "rate/" + Endpoint.Listed.Vm.text();
  const std::uint64_t OwnScore = rendezvousScore(Task, Self.text());
  const auto Before =
      std::count_if(Entries.begin(), Entries.end(), [&](const vm_id &Vm) {
        return rendezvousScore(Task, Vm.text()) > OwnScore;
      });
  const bool IsHolder = static_cast<std::size_t>(Before) < Holders;
  Endpoint.RateLimit.setShare(IsHolder ? 1 / static_cast<double>(Holders) : 0,
                              Now);
}

std::optional<milliseconds>
endpoint_table::timeUntilAdmission(const version_id &Version,
                                   steady_time Now) const {
  std::optional<milliseconds> Shortest;
  for (const auto &[Id, Endpoint] : Endpoints) {
    if (!serves(Endpoint, Version) || !isUsable(Endpoint, Now))
      continue;
    if (Endpoint.RateLimit.allows(Now))
      return std::nullopt;
    const auto Next = Endpoint.RateLimit.nextAdmission(Now);
    if (!Next)
      continue;
    const auto Left = std::chrono::ceil<milliseconds>(*Next - Now);
    Shortest = std::min(Shortest.value_or(Left), Left);
  }
  return Shortest;
}

void endpoint_table::markLeaving(const endpoint_id &Id) {
  auto Found = Endpoints.find(Id);
  if (Found != Endpoints.end())
    Found->second.IsLeaving = true;
}

bool endpoint_table::isUsable(const endpoint &Endpoint, steady_time Now) const {
  return Endpoint.HasReport && !Endpoint.IsLeaving &&
         Now >= Endpoint.EjectedUntil;
}

bool endpoint_table::serves(const endpoint &Endpoint,
                            const version_id &Version) const {
  return Endpoint.Listed.Kind == vm_kind::Engine &&
         Endpoint.Report.Versions.contains(Version);
}

double endpoint_table::loadOf(const endpoint &Endpoint) const {
  // Assumes that every entry VM sent as many requests since the report as this
  // one, so that several VMs do not overload the same idle endpoint.
  const double Estimated =
      static_cast<double>(Endpoint.Report.Load) +
      static_cast<double>(Endpoint.InFlightChangeSinceReport) *
          static_cast<double>(EntryCount);
  const double Load =
      std::max(Estimated, static_cast<double>(Endpoint.InFlight));
  return Load / std::max<std::uint32_t>(1, Endpoint.Report.Slots);
}

std::vector<endpoint_table::endpoint *>
endpoint_table::admittedEndpointsOf(const version_id &Version,
                                    steady_time Now) {
  std::vector<endpoint *> Admitted;
  for (auto &[Id, Endpoint] : Endpoints)
    if (serves(Endpoint, Version) && isAdmitted(Endpoint, Now))
      Admitted.push_back(&Endpoint);
  return Admitted;
}

std::optional<chosen_endpoint>
endpoint_table::choose(const version_id &Version, std::uint64_t AffinityKey,
                       const std::set<endpoint_id> &Excluded,
                       bool IsSuspectRequest, steady_time Now) {
  std::vector<endpoint *> Candidates;
  for (endpoint *Endpoint : admittedEndpointsOf(Version, Now)) {
    if (Excluded.contains(endpoint_id(Endpoint->Listed.Vm.text())))
      continue;
    // If an endpoint crashes while it runs two suspect requests, there is no
    // telling which of them caused it.
    if (IsSuspectRequest && Endpoint->SuspectsInFlight > 0)
      continue;
    Candidates.push_back(Endpoint);
  }
  if (Candidates.empty())
    return std::nullopt;
  endpoint *Chosen = chooseByAffinity(Candidates, AffinityKey);
  if (!Chosen)
    Chosen = chooseLeastLoaded(Candidates);
  return chosen_endpoint{endpoint_id(Chosen->Listed.Vm.text()),
                         Chosen->Listed.Address};
}

std::optional<chosen_endpoint>
endpoint_table::chooseService(const service_id &Service,
                              const std::set<endpoint_id> &Excluded,
                              steady_time Now) {
  std::vector<endpoint *> Candidates;
  for (auto &[Id, Endpoint] : Endpoints)
    if (Endpoint.Listed.Kind == vm_kind::Service &&
        Endpoint.Listed.Service == Service && isAdmitted(Endpoint, Now) &&
        !Excluded.contains(Id))
      Candidates.push_back(&Endpoint);
  if (Candidates.empty())
    return std::nullopt;
  endpoint *Chosen = chooseLeastLoaded(Candidates);
  return chosen_endpoint{endpoint_id(Chosen->Listed.Vm.text()),
                         Chosen->Listed.Address};
}

endpoint_table::endpoint *
endpoint_table::chooseLeastLoaded(const std::vector<endpoint *> &Candidates) {
  double Least = loadOf(*Candidates.front());
  for (const endpoint *Endpoint : Candidates)
    Least = std::min(Least, loadOf(*Endpoint));
  std::vector<endpoint *> LeastLoaded;
  for (endpoint *Endpoint : Candidates)
    if (loadOf(*Endpoint) <= Least + LoadTolerance)
      LeastLoaded.push_back(Endpoint);
  return LeastLoaded[Random() % LeastLoaded.size()];
}

endpoint_table::endpoint *
endpoint_table::chooseByAffinity(const std::vector<endpoint *> &Candidates,
                                 std::uint64_t AffinityKey) {
  if (AffinityKey == 0)
    return nullptr;
  double Total = 0;
  std::vector<std::pair<std::uint64_t, endpoint *>> Ranked;
  for (endpoint *Endpoint : Candidates) {
    Total += loadOf(*Endpoint);
    Ranked.emplace_back(fingerprintOf(Endpoint->Listed.Vm.text(), AffinityKey),
                        Endpoint);
  }
  const double Bound =
      AffinityLoadFactor * Total / static_cast<double>(Candidates.size()) +
      AffinityLoadSlack;
  const std::size_t Choices = std::min(AffinityCandidateCount, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Choices),
                    Ranked.end(), [](const auto &Left, const auto &Right) {
                      return Left.first > Right.first;
                    });
  for (std::size_t Index = 0; Index < Choices; ++Index)
    if (loadOf(*Ranked[Index].second) <= Bound)
      return Ranked[Index].second;
  return nullptr;
}

void endpoint_table::attemptStarted(const endpoint_id &Id,
                                    bool IsSuspectRequest, steady_time Now) {
  auto Found = Endpoints.find(Id);
  if (Found == Endpoints.end())
    return;
  ++Found->second.InFlight;
  ++Found->second.InFlightChangeSinceReport;
  Found->second.RateLimit.consume(Now);
  if (IsSuspectRequest)
    ++Found->second.SuspectsInFlight;
}

void endpoint_table::attemptFinished(const endpoint_id &Id,
                                     const attempt_report &Report,
                                     bool IsSuspectRequest, steady_time Now) {
  auto Found = Endpoints.find(Id);
  if (Found == Endpoints.end())
    return;
  endpoint &Endpoint = Found->second;
  if (Endpoint.InFlight > 0)
    --Endpoint.InFlight;
  --Endpoint.InFlightChangeSinceReport;
  if (IsSuspectRequest && Endpoint.SuspectsInFlight > 0)
    --Endpoint.SuspectsInFlight;
  if (Report.TimeToFirstToken)
    addFirstTokenSample(Endpoint,
                        static_cast<double>(Report.TimeToFirstToken->count()));
  else if (Report.Outcome == attempt_outcome::Cancelled)
    addWaitInVain(Endpoint, Report.TotalTime);
  if (Report.Outcome == attempt_outcome::Answered) {
    Endpoint.ConsecutiveFailures = 0;
    if (!isLatencyOutlier(Endpoint))
      Endpoint.ConsecutiveEjections = 0;
  } else if (Report.Outcome == attempt_outcome::Failed) {
    ++Endpoint.ConsecutiveFailures;
  }
  ejectIfUnhealthy(Endpoint, Now);
}

void endpoint_table::addFirstTokenSample(endpoint &Endpoint, double Ms) {
  Endpoint.MeanFirstTokenMs =
      Endpoint.FirstTokenSamples == 0
          ? Ms
          : Endpoint.MeanFirstTokenMs +
                FirstTokenSmoothing * (Ms - Endpoint.MeanFirstTokenMs);
  ++Endpoint.FirstTokenSamples;
}

/// The first token would have taken longer still, and at least as long as usual
/// on this endpoint. A wait that is shorter than on other endpoints tells
/// nothing. Without these samples, an endpoint whose callers give up would be
/// known by its fast responses only.
void endpoint_table::addWaitInVain(endpoint &Endpoint,
                                   milliseconds Time) const {
  const auto Usual = medianFirstTokenMs(Endpoint);
  const auto Waited = static_cast<double>(Time.count());
  if (Usual && Waited > *Usual)
    addFirstTokenSample(Endpoint, std::max(Waited, Endpoint.MeanFirstTokenMs));
}

bool endpoint_table::areInterchangeable(const endpoint &Left,
                                        const endpoint &Right) const {
  if (Left.Listed.Kind != Right.Listed.Kind)
    return false;
  if (Left.Listed.Kind == vm_kind::Service)
    return Left.Listed.Service == Right.Listed.Service;
  return std::any_of(Left.Report.Versions.begin(), Left.Report.Versions.end(),
                     [&](const version_id &Version) {
                       return Right.Report.Versions.contains(Version);
                     });
}

std::optional<double>
endpoint_table::medianFirstTokenMs(const endpoint &Endpoint) const {
  std::vector<double> OtherMeansMs;
  for (const auto &Entry : Endpoints) {
    const endpoint &Other = Entry.second;
    if (&Other != &Endpoint &&
        Other.FirstTokenSamples >= MinimumLatencySamples &&
        areInterchangeable(Endpoint, Other))
      OtherMeansMs.push_back(Other.MeanFirstTokenMs);
  }
  if (OtherMeansMs.empty())
    return std::nullopt;
  auto Median = OtherMeansMs.begin() +
                static_cast<std::ptrdiff_t>(OtherMeansMs.size() / 2);
  std::nth_element(OtherMeansMs.begin(), Median, OtherMeansMs.end());
  return *Median;
}

bool endpoint_table::isLatencyOutlier(const endpoint &Endpoint) const {
  if (Endpoint.FirstTokenSamples < MinimumLatencySamples)
    return false;
  const auto Usual = medianFirstTokenMs(Endpoint);
  return Usual && Endpoint.MeanFirstTokenMs > LatencyOutlierFactor * *Usual;
}

bool endpoint_table::mayEject(const endpoint &Endpoint, steady_time Now) const {
  std::size_t GroupSize = 0;
  std::size_t Ejected = 0;
  for (const auto &Entry : Endpoints) {
    const endpoint &Other = Entry.second;
    if (&Other != &Endpoint && !areInterchangeable(Endpoint, Other))
      continue;
    ++GroupSize;
    if (&Other != &Endpoint && Now < Other.EjectedUntil)
      ++Ejected;
  }
  return static_cast<double>(Ejected + 1) <=
         std::max(1.0, MaximumEjectedShare * static_cast<double>(GroupSize));
}

void endpoint_table::ejectIfUnhealthy(endpoint &Endpoint, steady_time Now) {
  const bool IsFailing =
      Endpoint.ConsecutiveFailures >= ConsecutiveFailuresToEject;
  if (Now < Endpoint.EjectedUntil ||
      (!IsFailing && !isLatencyOutlier(Endpoint)))
    return;
  if (!mayEject(Endpoint, Now))
    return;
  const auto Doublings =
      std::min(Endpoint.ConsecutiveEjections, MaximumEjectionDoublings);
  Endpoint.EjectedUntil = Now + BaseEjectionTime * (1 << Doublings);
  ++Endpoint.ConsecutiveEjections;
  // Restarts the latency measurement. If the ejection is for failures, a single
  // further failure ejects the endpoint again.
  Endpoint.ConsecutiveFailures = IsFailing ? ConsecutiveFailuresToEject - 1 : 0;
  Endpoint.FirstTokenSamples = 0;
  // A failing endpoint must respond to a poll before it is used again.
  if (IsFailing)
    Endpoint.HasReport = false;
}

std::uint32_t endpoint_table::slotsOf(const version_id &Version,
                                      steady_time Now) const {
  std::uint32_t Slots = 0;
  for (const auto &[Id, Endpoint] : Endpoints)
    if (serves(Endpoint, Version) && isUsable(Endpoint, Now))
      Slots += Endpoint.Report.Slots;
  return Slots;
}

bool endpoint_table::hasUsableEndpoint(const version_id &Version,
                                       steady_time Now) const {
  return std::any_of(
      Endpoints.begin(), Endpoints.end(), [&](const auto &Entry) {
        return serves(Entry.second, Version) && isUsable(Entry.second, Now);
      });
}

bool endpoint_table::reachesNone() const {
  return !Endpoints.empty() &&
         std::all_of(Endpoints.begin(), Endpoints.end(), [](const auto &Entry) {
           return Entry.second.HasFailedPoll;
         });
}

std::string endpoint_table::bootIdOf(const endpoint_id &Id) const {
  auto Found = Endpoints.find(Id);
  return Found == Endpoints.end() ? std::string() : Found->second.Report.BootId;
}

std::vector<chosen_endpoint>
endpoint_table::endpointsDueForPoll(milliseconds MaximumAge,
                                    steady_time Now) const {
  std::vector<chosen_endpoint> Due;
  for (const auto &[Id, Endpoint] : Endpoints)
    if (!Endpoint.HasReport || Now - Endpoint.ReportCutoff >= MaximumAge)
      Due.push_back({Id, Endpoint.Listed.Address});
  return Due;
}

std::vector<std::string> endpoint_table::describe(steady_time Now) const {
  std::vector<std::string> Lines;
  for (const auto &[Id, Endpoint] : Endpoints) {
    std::string Line = Id.text();
    for (const auto &Version : Endpoint.Report.Versions)
      Line += " " + Version.text();
    if (!Endpoint.Listed.Service.empty())
      Line += " service=" + Endpoint.Listed.Service.text();
    Line += " in_flight=" + std::to_string(Endpoint.InFlight);
    Line += " reported=" + std::to_string(Endpoint.Report.Load) + "/" +
            std::to_string(Endpoint.Report.Slots);
    if (Endpoint.IsLeaving)
      Line += " leaving";
    if (!Endpoint.HasReport)
      Line += " unreported";
    if (Now < Endpoint.EjectedUntil)
      Line += " ejected";
    if (const auto &PerSecond = Endpoint.RateLimit.latest().PerSecond)
      Line += " limit=" + std::to_string(*PerSecond) + "/s";
    Lines.push_back(std::move(Line));
  }
  return Lines;
}

} // namespace azurehaven
