#pragma once

#include "LibHttp/http_transport.h"
#include "LibMetrics/metrics.h"
#include "LibRouting/router.h"
#include "LibTypes/clock_source.h"

#include <condition_variable>
#include <deque>
#include <thread>

namespace azurehaven {

/// A response to be rated.
struct rating_job {
  version_class Subject;
  answer_role Role = answer_role::Direct;
  double Confidence = 1;
  std::string RequestId;
  std::string Prompt;
  std::string Response;
};

/// Sends responses to the rating service in the background and adds the scores
/// to the router. Responses beyond the rate limit or the queue limit are not
/// rated. Thread-safe.
class rating_sender {
public:
  rating_sender(http_transport &Transport,
                std::optional<network_address> Service, double RatingsPerSecond,
                router &Router, metrics &Metrics);
  ~rating_sender();

  void offer(rating_job Job, steady_time Now);

private:
  void runWorker();
  void rate(const rating_job &Job);
  bool tryTakeToken(steady_time Now);

  http_transport &Transport;
  const std::optional<network_address> Service;
  const double RatingsPerSecond;
  router &Router;
  metrics &Metrics;
  std::mutex Mutex;
  std::condition_variable HasWork;
  std::deque<rating_job> Jobs;
  double Tokens;
  steady_time RefilledAt{};
  bool IsStopping = false;
  std::vector<std::thread> Workers;
};

} // namespace azurehaven
