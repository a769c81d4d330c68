#include "LibEntry/rating_sender.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

namespace {

constexpr std::size_t WorkerCount = 2;
constexpr std::size_t MaximumQueuedJobs = 1000;
constexpr double BurstSeconds = 2;
constexpr http_timeouts RatingTimeouts{milliseconds(1000), milliseconds(10000)};

} // namespace

rating_sender::rating_sender(http_transport &Transport,
                             std::optional<network_address> Service,
                             double RatingsPerSecond, router &Router,
                             metrics &Metrics)
    : Transport(Transport), Service(std::move(Service)),
      RatingsPerSecond(RatingsPerSecond), Router(Router), Metrics(Metrics),
      Tokens(RatingsPerSecond * BurstSeconds) {
  if (!this->Service)
    return;
  for (std::size_t Index = 0; Index < WorkerCount; ++Index)
    Workers.emplace_back([this] { runWorker(); });
}

rating_sender::~rating_sender() {
  {
    std::lock_guard Lock(Mutex);
    IsStopping = true;
  }
  HasWork.notify_all();
  for (auto &Worker : Workers)
    Worker.join();
}

bool rating_sender::tryTakeToken(steady_time Now) {
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  Tokens = std::min(RatingsPerSecond * BurstSeconds,
                    Tokens + RatingsPerSecond * Elapsed.count());
  RefilledAt = Now;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void rating_sender::offer(rating_job Job, steady_time Now) {
  std::lock_guard Lock(Mutex);
  if (!Service || Jobs.size() >= MaximumQueuedJobs || !tryTakeToken(Now)) {
    Metrics.increment("azurehaven_unrated_answers_total");
    return;
  }
  Jobs.push_back(std::move(Job));
  HasWork.notify_one();
}

void rating_sender::runWorker() {
  while (true) {
    std::unique_lock Lock(Mutex);
    HasWork.wait(Lock, [this] { return IsStopping || !Jobs.empty(); });
    if (IsStopping)
      return;
    rating_job Job = std::move(Jobs.front());
    Jobs.pop_front();
    Lock.unlock();
    rate(Job);
  }
}

void rating_sender::rate(const rating_job &Job) {
  nlohmann::json Body = {{"request", Job.RequestId},
                         {"class", Job.Subject.Class.text()},
                         {"prompt", Job.Prompt},
                         {"answer", Job.Response}};
  http_request Request{
      "POST",
      "/v1/ratings",
      {{"Content-Type", "application/json"}},
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
  auto Sent =
      Transport.send(*Service, Request, RatingTimeouts, connection_use::Pooled);
  const auto *Response = std::get_if<http_response>(&Sent);
  const auto Document =
      Response ? nlohmann::json::parse(Response->Body, nullptr, false)
               : nlohmann::json();
  if (!Document.is_object() || !Document.contains("score") ||
      !Document["score"].is_number()) {
    Metrics.increment("azurehaven_rating_failures_total");
    return;
  }
  Router.addRating(Job.Subject, Job.Role, Job.Confidence,
                   Document["score"].get<double>());
  Metrics.increment("azurehaven_ratings_total");
}

} // namespace azurehaven
