#pragma once

#include "LibConfig/configuration.h"
#include "LibRouting/admission_control.h"
#include "LibRouting/crash_registry.h"
#include "LibRouting/decision_log.h"
#include "LibRouting/endpoint_table.h"
#include "LibRouting/latency_outcome.h"
#include "LibRouting/rating_pool.h"
#include "LibRouting/retry_budget.h"
#include "LibRouting/version_chooser.h"
#include "LibRouting/version_health.h"
#include "LibTypes/ranked_mutex.h"

namespace azurehaven {

struct routing_request {
  const configuration *Configuration = nullptr;
  const client_account *Account = nullptr;
  const work_class *Class = nullptr;
  /// The version that the request's session is bound to.
  std::optional<version_id> PinnedVersion;
  /// See crashFingerprint().
  std::uint64_t Fingerprint = 0;
};

enum class refusal_reason {
  /// The session's version was withdrawn or is no longer allowed.
  VersionWithdrawn,
  NoAllowedVersion,
  NoEndpoint,
  /// Endpoints crash under the whole request, or under a part of its prompt.
  CrashCausing,
  PromptCrashCausing,
  Overloaded,
};

struct routing_refusal {
  refusal_reason Reason = refusal_reason::NoEndpoint;
  milliseconds RetryAfter{0};
};

struct attempt {
  chosen_endpoint Endpoint;
  /// Empty for a plain service.
  version_id Version;
  /// See crashFingerprint(); 0 for a plain service.
  std::uint64_t Fingerprint = 0;
  /// See crash_status::Suspect.
  bool IsSuspect = false;
};

/// Makes all routing decisions of one VM. No I/O; the time is an argument.
/// Thread-safe (lock_rank::Router).
class router {
public:
  router(vm_id Self, std::uint64_t Incarnation, std::uint64_t Seed,
         drop_test_settings HealthSettings);

  /// Chooses the versions to try for a request, in order. Record may be null.
  std::variant<route_plan, routing_refusal> plan(const routing_request &Request,
                                                 steady_time Now,
                                                 decision_record *Record);

  admission_result admit(const version_id &Version,
                         const admission_request &Request, steady_time Now);
  admission_progress release(const version_id &Version, admission_ticket Ticket,
                             milliseconds ServiceTime, steady_time Now);
  bool cancelAdmission(const version_id &Version, admission_ticket Ticket);
  /// Advances every admission queue; to be called every few milliseconds.
  std::vector<std::pair<version_id, admission_progress>>
  advanceQueues(steady_time Now);

  /// Chooses the endpoint of an attempt and counts the attempt as started;
  /// nullopt if no endpoint is usable.
  std::optional<attempt> startAttempt(const version_id &Version,
                                      std::uint64_t AffinityKey,
                                      std::uint64_t Fingerprint,
                                      const std::set<endpoint_id> &Excluded,
                                      steady_time Now);
  std::optional<attempt>
  startServiceAttempt(const service_id &Service,
                      const std::set<endpoint_id> &Excluded, steady_time Now);
  /// Class is not used for a plain service.
  void finishAttempt(const attempt &Attempt, const work_class &Class,
                     const attempt_report &Report, steady_time Now);
  /// Credits the retry budgets for one request.
  void countRequest(const client_account_id &Account, steady_time Now);
  /// Takes one retry from the budgets; returns false if one is exhausted.
  bool tryTakeRetry(const client_account_id &Account, steady_time Now);

  /// Records that an endpoint crashed while it ran a request of this VM or a
  /// peer.
  void addCrash(const crash_notice &Notice, steady_time Now);
  crash_status crashStatusOf(std::uint64_t Fingerprint);
  std::size_t refusedFingerprintCount();

  void addRating(const version_class &Subject, answer_role Role,
                 double Confidence, double Score);
  void mergeRatingNotice(const rating_notice &Notice);
  std::vector<rating_notice> takeRatingNotices();
  std::vector<crash_notice> takeCrashNotices();
  /// Runs the health tests and returns the new alarms; to be called about as
  /// often as heartbeats arrive.
  std::vector<version_alarm> evaluateHealth();
  /// Returns the versions under roll-out that have enough ratings and are,
  /// within a margin, no worse than their incumbent in every class that has
  /// ratings of both: in quality, in the share of answers that are complete and
  /// in that of attempts that meet the latency targets.
  std::vector<version_id>
  promotableVersions(const configuration &Configuration);
  /// Resets the health tests of versions that an operator has reinstated after
  /// a withdrawal.
  void configurationChanged(const configuration &Before,
                            const configuration &After);

  void applyList(const std::vector<listed_vm> &List,
                 std::size_t ServingEntryCount);
  void updateEndpointReport(const endpoint_id &Id,
                            const endpoint_report &Report,
                            steady_time RequestedAt);
  /// See endpoint_table::timeUntilAdmission().
  std::optional<milliseconds> timeUntilAdmission(const version_id &Version,
                                                 steady_time Now);
  void recordEndpointPollFailure(const endpoint_id &Id, steady_time Now);
  void markEndpointLeaving(const endpoint_id &Id);
  std::vector<chosen_endpoint> endpointsDueForPoll(milliseconds MaximumAge,
                                                   steady_time Now);
  /// See endpoint_table::reachesNone().
  bool reachesNoEndpoint();
  std::string bootIdOf(const endpoint_id &Id);

  /// Requests in flight on this VM by account, for the heartbeats.
  std::vector<usage_notice> inFlightByAccount();
  /// Stores the usage that a peer reported, in place of its previous report.
  void setPeerUsage(const vm_id &Peer, std::vector<usage_notice> Usage,
                    steady_time Now);

  std::vector<std::string> describeEndpoints(steady_time Now);
  rating_counts ratingsOf(const version_class &Subject);

private:
  version_view viewOf(const model_version &Version, const work_class &Class,
                      steady_time Now);
  /// This VM's measurements of the pair, or an estimate if they are too few.
  version_statistics statisticsOf(const version_class &Subject) const;
  void addCounts(const version_class &Subject, std::size_t Bucket,
                 const rating_counts &Added);
  void countLatency(const version_class &Subject, std::size_t Bucket,
                    latency_outcome Outcome);
  /// The active version of the same model with the most ratings in the class.
  std::optional<version_id> incumbentOf(const configuration &Configuration,
                                        const model_version &Version,
                                        const class_id &Class);

  ranked_mutex Mutex{lock_rank::Router};
  endpoint_table Endpoints;
  admission_control Admission;
  version_chooser Chooser;
  rating_pool Ratings;
  version_health Health;
  crash_registry Crashes;
  retry_budget Retries;
  std::map<version_class, version_statistics> Statistics;
  /// Over all classes of a version, and over all versions of a class. Used to
  /// estimate the statistics of a pair with too few samples on this VM.
  std::map<version_id, version_statistics> VersionStatistics;
  std::map<class_id, version_statistics> ClassStatistics;
};

} // namespace azurehaven
