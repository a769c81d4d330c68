#include "LibDispatch/placement.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// A reported load is ignored after this time.
constexpr milliseconds LoadReportLifetime{2000};
/// Work that one running request adds besides its prompt, in tokens of the
/// smallest model.
constexpr double WorkPerRunningRequest = 2000;
/// Weight of prompt tokens that miss the engine's cache: processing them again
/// delays the other requests on the engine as well as the request itself.
constexpr double PrefixMissWeight = 4;
/// Time for which an engine is expected to keep a prompt in its cache.
constexpr std::chrono::seconds CacheLifetime{15};
/// Prefixes recorded per engine before expired ones are removed.
constexpr std::size_t PrefixLimit = 2000;
/// Number of requests by which an endpoint of the VM's own failure domain may
/// be more loaded and still be preferred.
constexpr double LocalDomainBonus = 0.5;
/// Number of requests by which an endpoint that fails every request counts as
/// more loaded than one that fails none. More for a request that has failed
/// once: its next attempt may be its last.
constexpr double FailurePenalty = 4;
constexpr double RetryFailurePenalty = 20;

bool isCandidate(const endpoint_record &Endpoint,
                 const placement_parameters &Parameters, steady_time Now) {
  return Endpoint.isUsable(Now) &&
         !Parameters.Tried.contains(Endpoint.Descriptor.Id);
}

} // namespace

std::string sharedPrefixKey(const dispatch_request &Request,
                            const model_id &Model) {
  // The last segment is specific to the request.
  if (Request.Prompt.size() < 2)
    return {};
  return Request.Prompt[Request.Prompt.size() - 2].Id + "/" + Model.text();
}

std::uint32_t sharedPrefixTokens(const dispatch_request &Request) {
  std::uint32_t Tokens = 0;
  for (std::size_t Index = 0; Index + 1 < Request.Prompt.size(); ++Index)
    Tokens += Request.Prompt[Index].Tokens;
  return Tokens;
}

bool isProbablyCached(const endpoint_record &Endpoint,
                      const std::string &PrefixKey, steady_time Now) {
  auto Sent = Endpoint.SentPrefixes.find(PrefixKey);
  return Sent != Endpoint.SentPrefixes.end() &&
         Now - Sent->second < CacheLifetime;
}

void recordSentPrefix(endpoint_record &Endpoint, const std::string &PrefixKey,
                      steady_time Now) {
  auto &Sent = Endpoint.SentPrefixes;
  Sent[PrefixKey] = Now;
  if (Sent.size() > PrefixLimit)
    std::erase_if(Sent, [&](const auto &Entry) {
      return Now - Entry.second >= CacheLifetime;
    });
}

double pendingPromptWork(const endpoint_record &Endpoint) {
  return std::max(Endpoint.PromptWork + Endpoint.PeersPromptWork, 0.0);
}

double meanPendingPromptWork(const endpoint_list &Endpoints, steady_time Now) {
  double Sum = 0;
  std::size_t Count = 0;
  for (const auto &Endpoint : Endpoints) {
    if (!Endpoint->isUsable(Now))
      continue;
    Sum += pendingPromptWork(*Endpoint);
    ++Count;
  }
  return Count == 0 ? 0 : Sum / static_cast<double>(Count);
}

double estimatedLoad(const endpoint_record &Endpoint, steady_time Now) {
  const double CountedLoad = Endpoint.InFlight + Endpoint.PeersInFlight;
  if (!Endpoint.Load || Now - Endpoint.Load->At > LoadReportLifetime)
    return CountedLoad;
  return std::max(CountedLoad, static_cast<double>(Endpoint.Load->Running +
                                                   Endpoint.Load->Waiting));
}

std::shared_ptr<endpoint_record>
selectEngine(const dispatch_request &Request, const endpoint_list &Candidates,
             const placement_parameters &Parameters, steady_time Now) {
  const std::string PrefixKey = sharedPrefixKey(Request, Parameters.Model);
  const double PrefixWork =
      sharedPrefixTokens(Request) * Parameters.WorkPerToken;
  std::shared_ptr<endpoint_record> Assigned;
  std::uint64_t AssignedScore = 0;
  for (const auto &Endpoint : Candidates) {
    if (!isCandidate(*Endpoint, Parameters, Now))
      continue;
    const std::uint64_t Score =
        rendezvousScore(PrefixKey.empty() ? Request.Id.text() : PrefixKey,
                        Endpoint->Descriptor.Id.text());
    if (Assigned && Score <= AssignedScore)
      continue;
    Assigned = Endpoint;
    AssignedScore = Score;
  }
  std::shared_ptr<endpoint_record> Best;
  double BestWork = 0;
  for (const auto &Endpoint : Candidates) {
    if (!isCandidate(*Endpoint, Parameters, Now))
      continue;
    const bool IsCached =
        Endpoint == Assigned || isProbablyCached(*Endpoint, PrefixKey, Now);
    const double Work = pendingPromptWork(*Endpoint) +
                        WorkPerRunningRequest * estimatedLoad(*Endpoint, Now) +
                        (IsCached ? 0 : PrefixMissWeight * PrefixWork);
    if (Best && Work >= BestWork)
      continue;
    Best = Endpoint;
    BestWork = Work;
  }
  return Best;
}

std::shared_ptr<endpoint_record>
selectLeastLoaded(const endpoint_list &Candidates,
                  const placement_parameters &Parameters, steady_time Now) {
  const double Penalty =
      Parameters.Tried.empty() ? FailurePenalty : RetryFailurePenalty;
  std::shared_ptr<endpoint_record> Best;
  double BestLoad = 0;
  for (const auto &Endpoint : Candidates) {
    if (!isCandidate(*Endpoint, Parameters, Now))
      continue;
    double Load =
        estimatedLoad(*Endpoint, Now) + Penalty * Endpoint->FailureRate;
    if (Endpoint->Descriptor.Domain == Parameters.OwnDomain)
      Load -= LocalDomainBonus;
    if (Best && Load >= BestLoad)
      continue;
    Best = Endpoint;
    BestLoad = Load;
  }
  return Best;
}

} // namespace azurehaven
