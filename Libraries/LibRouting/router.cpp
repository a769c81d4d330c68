#include "LibRouting/router.h"

#include "LibRouting/promotion_rule.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

constexpr milliseconds NoEndpointRetryAfter{1000};
constexpr std::uint64_t PromotionRatings = 200;
/// Answers of a version in a class needed before its own statistics in that
/// class are used instead of an estimate.
constexpr std::uint64_t MinimumPairSamples = 5;
/// Assumed ratio of the deviation of the total time to the total time, for
/// estimated statistics.
constexpr double EstimatedDeviationRatio = 0.3;

} // namespace

router::router(vm_id Self, std::uint64_t Incarnation, std::uint64_t Seed,
               drop_test_settings HealthSettings)
    : Endpoints(Seed, Self), Admission(Endpoints), Chooser(Seed + 1),
      Ratings(std::move(Self), Incarnation), Health(HealthSettings) {}

std::variant<route_plan, routing_refusal>
router::plan(const routing_request &Request, steady_time Now,
             decision_record *Record) {
  std::lock_guard Lock(Mutex);
  if (Crashes.statusOf(Request.Fingerprint) == crash_status::Refused)
    return routing_refusal{refusal_reason::CrashCausing, milliseconds(0)};
  const configuration &Configuration = *Request.Configuration;
  if (Request.PinnedVersion) {
    if (!Configuration.permits(*Request.Account, *Request.PinnedVersion))
      return routing_refusal{refusal_reason::VersionWithdrawn, milliseconds(0)};
    if (!Endpoints.hasUsableEndpoint(*Request.PinnedVersion, Now))
      return routing_refusal{refusal_reason::NoEndpoint, NoEndpointRetryAfter};
    route_plan Plan;
    Plan.Stages = {{*Request.PinnedVersion, std::nullopt}};
    return Plan;
  }
  std::vector<version_view> Views;
  for (const auto &[Id, Version] : Configuration.Versions)
    if (Configuration.permits(*Request.Account, Id))
      Views.push_back(viewOf(Version, *Request.Class, Now));
  if (Views.empty())
    return routing_refusal{refusal_reason::NoAllowedVersion, milliseconds(0)};
  auto Plan = Chooser.choose(*Request.Class, Views,
                             Record ? &Record->Candidates : nullptr);
  if (!Plan)
    return routing_refusal{refusal_reason::NoEndpoint, NoEndpointRetryAfter};
  return std::move(*Plan);
}

version_view router::viewOf(const model_version &Version,
                            const work_class &Class, steady_time Now) {
  const version_class Subject{Version.Id, Class.Id};
  version_view View;
  View.Version = &Version;
  View.Ratings = Ratings.pooledCounts(Subject);
  View.Statistics = statisticsOf(Subject);
  // A version with an alarm gets no new requests from this VM, even before its
  // withdrawal is stored.
  View.IsAvailable = Endpoints.hasUsableEndpoint(Version.Id, Now) &&
                     !Health.isAlarmed(Version.Id);
  View.QueueMs =
      static_cast<double>(Admission.expectedWait(Version.Id).count());
  View.IsSuspect = Health.isSuspect(Subject);
  return View;
}

version_statistics router::statisticsOf(const version_class &Subject) const {
  auto Known = Statistics.find(Subject);
  if (Known != Statistics.end() && Known->second.Samples >= MinimumPairSamples)
    return Known->second;
  version_statistics Estimate;
  auto Class = ClassStatistics.find(Subject.Class);
  if (Class != ClassStatistics.end()) {
    Estimate.PromptTokens = Class->second.PromptTokens;
    Estimate.CompletionTokens = Class->second.CompletionTokens;
  }
  auto Version = VersionStatistics.find(Subject.Version);
  if (Version == VersionStatistics.end())
    return Estimate;
  const version_statistics &VersionMeans = Version->second;
  Estimate.FirstTokenMs = VersionMeans.FirstTokenMs;
  Estimate.FirstTokenDeviationMs = VersionMeans.FirstTokenDeviationMs;
  const double TokenMs =
      std::max(0.0, VersionMeans.TotalMs - VersionMeans.FirstTokenMs) /
      std::max(1.0, VersionMeans.CompletionTokens);
  Estimate.TotalMs =
      VersionMeans.FirstTokenMs + TokenMs * Estimate.CompletionTokens;
  Estimate.TotalDeviationMs = Estimate.TotalMs * EstimatedDeviationRatio;
  return Estimate;
}

admission_result router::admit(const version_id &Version,
                               const admission_request &Request,
                               steady_time Now) {
  std::lock_guard Lock(Mutex);
  return Admission.admit(Version, Request, Now);
}

admission_progress router::release(const version_id &Version,
                                   admission_ticket Ticket,
                                   milliseconds ServiceTime, steady_time Now) {
  std::lock_guard Lock(Mutex);
  return Admission.release(Version, Ticket, ServiceTime, Now);
}

bool router::cancelAdmission(const version_id &Version,
                             admission_ticket Ticket) {
  std::lock_guard Lock(Mutex);
  return Admission.cancel(Version, Ticket);
}

std::vector<std::pair<version_id, admission_progress>>
router::advanceQueues(steady_time Now) {
  std::lock_guard Lock(Mutex);
  return Admission.advance(Now);
}

std::optional<attempt>
router::startAttempt(const version_id &Version, std::uint64_t AffinityKey,
                     std::uint64_t Fingerprint,
                     const std::set<endpoint_id> &Excluded, steady_time Now) {
  std::lock_guard Lock(Mutex);
  const bool IsSuspect = Crashes.statusOf(Fingerprint) != crash_status::Clear;
  auto Endpoint =
      Endpoints.choose(Version, AffinityKey, Excluded, IsSuspect, Now);
  if (!Endpoint)
    return std::nullopt;
  Endpoints.attemptStarted(Endpoint->Id, IsSuspect, Now);
  return attempt{*Endpoint, Version, Fingerprint, IsSuspect};
}

std::optional<attempt>
router::startServiceAttempt(const service_id &Service,
                            const std::set<endpoint_id> &Excluded,
                            steady_time Now) {
  std::lock_guard Lock(Mutex);
  auto Endpoint = Endpoints.chooseService(Service, Excluded, Now);
  if (!Endpoint)
    return std::nullopt;
  Endpoints.attemptStarted(Endpoint->Id, false, Now);
  return attempt{*Endpoint, version_id(), 0, false};
}

void router::finishAttempt(const attempt &Attempt, const work_class &Class,
                           const attempt_report &Report, steady_time Now) {
  std::lock_guard Lock(Mutex);
  Endpoints.attemptFinished(Attempt.Endpoint.Id, Report, Attempt.IsSuspect,
                            Now);
  if (Attempt.Version.empty())
    return;
  const version_class Subject{Attempt.Version, Class.Id};
  const std::size_t Bucket = bucketIndex(Report.Role, Report.Confidence);
  countLatency(Subject, Bucket, latencyOutcomeOf(Class, Report));
  if (Report.Outcome == attempt_outcome::Answered) {
    for (version_statistics *Means :
         {&Statistics[Subject], &VersionStatistics[Subject.Version],
          &ClassStatistics[Subject.Class]})
      Means->add(Report.TimeToFirstToken.value_or(Report.TotalTime),
                 Report.TotalTime, Report.PromptTokens,
                 Report.CompletionTokens);
    addCounts(Subject, Bucket, {0, 0, 1, 0});
  } else if (Report.Outcome == attempt_outcome::Failed &&
             Report.HadStartedAnswer) {
    addCounts(Subject, Bucket, {0, 0, 0, 1});
  }
}

void router::countLatency(const version_class &Subject, std::size_t Bucket,
                          latency_outcome Outcome) {
  rating_counts Added;
  Added.InTime = Outcome == latency_outcome::InTime;
  Added.Late = Outcome == latency_outcome::Late;
  if (Added != rating_counts{})
    addCounts(Subject, Bucket, Added);
}

void router::countRequest(const client_account_id &Account, steady_time Now) {
  std::lock_guard Lock(Mutex);
  Retries.countRequest(Account, Now);
}

bool router::tryTakeRetry(const client_account_id &Account, steady_time Now) {
  std::lock_guard Lock(Mutex);
  return Retries.tryTake(Account, Now);
}

void router::addCrash(const crash_notice &Notice, steady_time Now) {
  std::lock_guard Lock(Mutex);
  // Excludes the endpoint at once: a further request that is sent to it while
  // it crashes would be recorded as a cause as well.
  if (Crashes.add(Notice))
    Endpoints.markCrashed(Notice.Endpoint, Now);
}

crash_status router::crashStatusOf(std::uint64_t Fingerprint) {
  std::lock_guard Lock(Mutex);
  return Crashes.statusOf(Fingerprint);
}

std::size_t router::refusedFingerprintCount() {
  std::lock_guard Lock(Mutex);
  return Crashes.refusedCount();
}

void router::addRating(const version_class &Subject, answer_role Role,
                       double Confidence, double Score) {
  std::lock_guard Lock(Mutex);
  const auto ScoreMilli = static_cast<std::uint64_t>(
      std::lround(std::clamp(Score, 0.0, 1.0) * 1000));
  addCounts(Subject, bucketIndex(Role, Confidence), {1, ScoreMilli, 0, 0});
}

void router::addCounts(const version_class &Subject, std::size_t Bucket,
                       const rating_counts &Added) {
  Ratings.addLocalCounts(Subject, Bucket, Added);
  Health.add(Subject, Bucket, Added);
}

void router::mergeRatingNotice(const rating_notice &Notice) {
  std::lock_guard Lock(Mutex);
  auto Added = Ratings.mergeNotice(Notice);
  if (!Added)
    return;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket)
    if ((*Added)[Bucket] != rating_counts{})
      Health.add({Notice.Version, Notice.Class}, Bucket, (*Added)[Bucket]);
}

std::vector<rating_notice> router::takeRatingNotices() {
  std::lock_guard Lock(Mutex);
  return Ratings.takeNotices();
}

std::vector<crash_notice> router::takeCrashNotices() {
  std::lock_guard Lock(Mutex);
  return Crashes.takeNotices();
}

std::vector<version_alarm> router::evaluateHealth() {
  std::lock_guard Lock(Mutex);
  Health.evaluate();
  return Health.takeAlarms();
}

std::optional<version_id>
router::incumbentOf(const configuration &Configuration,
                    const model_version &Version, const class_id &Class) {
  std::optional<version_id> Best;
  std::uint64_t BestCount = 0;
  for (const auto &[Id, Other] : Configuration.Versions) {
    if (Other.Model != Version.Model || Other.State != version_state::Active)
      continue;
    const std::uint64_t Count =
        sumBuckets(Ratings.pooledCounts({Id, Class})).Count;
    if (Count > BestCount) {
      Best = Id;
      BestCount = Count;
    }
  }
  return Best;
}

std::vector<version_id>
router::promotableVersions(const configuration &Configuration) {
  std::lock_guard Lock(Mutex);
  std::vector<version_id> Proven;
  for (const auto &[Id, Version] : Configuration.Versions) {
    if (Version.State != version_state::RollingOut)
      continue;
    std::uint64_t RatingCount = 0;
    bool IsProven = true;
    for (const auto &[Class, Targets] : Configuration.Classes) {
      const rating_counts Own = sumBuckets(Ratings.pooledCounts({Id, Class}));
      auto Incumbent = incumbentOf(Configuration, Version, Class);
      if (Own.Count == 0 || !Incumbent)
        continue;
      const rating_counts Reference =
          sumBuckets(Ratings.pooledCounts({*Incumbent, Class}));
      Health.setIncumbentScore({Id, Class}, meanQuality(Reference));
      RatingCount += Own.Count;
      if (!isNoWorse(Own, Reference))
        IsProven = false;
    }
    if (IsProven && RatingCount >= PromotionRatings && !Health.isAlarmed(Id))
      Proven.push_back(Id);
  }
  return Proven;
}

void router::configurationChanged(const configuration &Before,
                                  const configuration &After) {
  std::lock_guard Lock(Mutex);
  for (const auto &[Id, Version] : After.Versions) {
    const model_version *Earlier = Before.findVersion(Id);
    if (Earlier && Earlier->State == version_state::Withdrawn &&
        Version.State != version_state::Withdrawn)
      Health.reset(Id);
  }
}

void router::applyList(const std::vector<listed_vm> &List,
                       std::size_t ServingEntryCount) {
  std::lock_guard Lock(Mutex);
  Endpoints.applyList(List);
  const std::size_t EntryCount = std::max<std::size_t>(1, ServingEntryCount);
  Endpoints.setEntryCount(EntryCount);
  Admission.setEntryCount(EntryCount);
}

void router::updateEndpointReport(const endpoint_id &Id,
                                  const endpoint_report &Report,
                                  steady_time RequestedAt) {
  std::lock_guard Lock(Mutex);
  Endpoints.updateReport(Id, Report, RequestedAt);
}

std::optional<milliseconds>
router::timeUntilAdmission(const version_id &Version, steady_time Now) {
  std::lock_guard Lock(Mutex);
  return Endpoints.timeUntilAdmission(Version, Now);
}

void router::recordEndpointPollFailure(const endpoint_id &Id, steady_time Now) {
  std::lock_guard Lock(Mutex);
  Endpoints.recordPollFailure(Id, Now);
}

void router::markEndpointLeaving(const endpoint_id &Id) {
  std::lock_guard Lock(Mutex);
  Endpoints.markLeaving(Id);
}

std::vector<chosen_endpoint>
router::endpointsDueForPoll(milliseconds MaximumAge, steady_time Now) {
  std::lock_guard Lock(Mutex);
  return Endpoints.endpointsDueForPoll(MaximumAge, Now);
}

bool router::reachesNoEndpoint() {
  std::lock_guard Lock(Mutex);
  return Endpoints.reachesNone();
}

std::string router::bootIdOf(const endpoint_id &Id) {
  std::lock_guard Lock(Mutex);
  return Endpoints.bootIdOf(Id);
}

std::vector<usage_notice> router::inFlightByAccount() {
  std::lock_guard Lock(Mutex);
  return Admission.inFlightByAccount();
}

void router::setPeerUsage(const vm_id &Peer, std::vector<usage_notice> Usage,
                          steady_time Now) {
  std::lock_guard Lock(Mutex);
  Admission.setPeerUsage(Peer, std::move(Usage), Now);
}

std::vector<std::string> router::describeEndpoints(steady_time Now) {
  std::lock_guard Lock(Mutex);
  return Endpoints.describe(Now);
}

rating_counts router::ratingsOf(const version_class &Subject) {
  std::lock_guard Lock(Mutex);
  rating_counts Sum = sumBuckets(Ratings.pooledCounts(Subject));
  Sum += sumBuckets(Ratings.pooledCounts(Subject), answer_role::Escalated);
  return Sum;
}

} // namespace azurehaven
