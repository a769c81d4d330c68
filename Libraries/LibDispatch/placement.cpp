#include "LibDispatch/placement.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// A reported load is worth nothing after this time.
constexpr milliseconds ReportLife{2000};
/// Work that one running request adds to the others beside its prompt, in
/// tokens of the smallest model.
constexpr double RunningWork = 2000;
/// A prompt that is read again delays all that run on its engine, beside the
/// request itself.
constexpr double RereadWeight = 4;
/// How long an engine is expected to keep a prompt that was sent there.
constexpr std::chrono::seconds CacheLife{15};
/// Beginnings remembered for one engine before old ones are looked for.
constexpr std::size_t BeginningLimit = 2000;
/// Requests by which a nearer endpoint may be more loaded than a farther one.
constexpr double NearBonus = 0.5;

bool isCandidate(const endpoint_record &Endpoint,
                 const placement_parameters &Terms, steady_time Now) {
  return Endpoint.isUsable(Now) &&
         !Terms.Tried.contains(Endpoint.Descriptor.Id);
}

} // namespace

std::string sharedPrefixKey(const dispatch_request &Request,
                            const model_id &Model) {
  // The last part belongs to the request itself.
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
                      const std::string &Beginning, steady_time Now) {
  auto Sent = Endpoint.SentPrefixes.find(Beginning);
  return Sent != Endpoint.SentPrefixes.end() && Now - Sent->second < CacheLife;
}

void recordSentPrefix(endpoint_record &Endpoint, const std::string &Beginning,
                      steady_time Now) {
  auto &Sent = Endpoint.SentPrefixes;
  Sent[Beginning] = Now;
  if (Sent.size() > BeginningLimit)
    std::erase_if(Sent, [&](const auto &Entry) {
      return Now - Entry.second >= CacheLife;
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
  const double Known = Endpoint.InFlight + Endpoint.PeersInFlight;
  if (!Endpoint.Load || Now - Endpoint.Load->At > ReportLife)
    return Known;
  return std::max(Known, static_cast<double>(Endpoint.Load->Running +
                                             Endpoint.Load->Waiting));
}

std::shared_ptr<endpoint_record> selectEngine(const dispatch_request &Request,
                                              const endpoint_list &Candidates,
                                              const placement_parameters &Terms,
                                              steady_time Now) {
  const std::string Beginning = sharedPrefixKey(Request, Terms.Model);
  const double UncachedWork = sharedPrefixTokens(Request) * Terms.WorkPerToken;
  std::shared_ptr<endpoint_record> First;
  std::uint64_t FirstScore = 0;
  for (const auto &Endpoint : Candidates) {
    if (!isCandidate(*Endpoint, Terms, Now))
      continue;
    const std::uint64_t Score =
        rendezvousScore(Beginning.empty() ? Request.Id.text() : Beginning,
                        Endpoint->Descriptor.Id.text());
    if (First && Score <= FirstScore)
      continue;
    First = Endpoint;
    FirstScore = Score;
  }
  std::shared_ptr<endpoint_record> Best;
  double BestWork = 0;
  for (const auto &Endpoint : Candidates) {
    if (!isCandidate(*Endpoint, Terms, Now))
      continue;
    const bool IsCached =
        Endpoint == First || isProbablyCached(*Endpoint, Beginning, Now);
    const double Work = pendingPromptWork(*Endpoint) +
                        RunningWork * estimatedLoad(*Endpoint, Now) +
                        (IsCached ? 0 : RereadWeight * UncachedWork);
    if (Best && Work >= BestWork)
      continue;
    Best = Endpoint;
    BestWork = Work;
  }
  return Best;
}

std::shared_ptr<endpoint_record>
selectLeastLoaded(const endpoint_list &Candidates,
                  const placement_parameters &Terms, steady_time Now) {
  std::shared_ptr<endpoint_record> Best;
  double BestLoad = 0;
  for (const auto &Endpoint : Candidates) {
    if (!isCandidate(*Endpoint, Terms, Now))
      continue;
    double Load = estimatedLoad(*Endpoint, Now) +
                  static_cast<double>(Endpoint->FailureRate) * 4;
    if (Endpoint->Descriptor.Domain == Terms.OwnDomain)
      Load -= NearBonus;
    if (Best && Load >= BestLoad)
      continue;
    Best = Endpoint;
    BestLoad = Load;
  }
  return Best;
}

} // namespace azurehaven
