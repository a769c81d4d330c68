#pragma once

#include "LibServer/http_server.h"
#include "Soak/run_registry.h"

#include <atomic>

namespace azurehaven::platform {

enum class endpoint_behavior {
  Healthy,
  Full,
  Failing,
  TruncatingStreams,
  /// Refuses every second request, by a response that names no request.
  SheddingHalf,
};

/// Number of events in each stream.
constexpr std::uint64_t StreamEvents = 12;
/// The models of the stream route, smallest first.
constexpr const char *SmallModel = "model-small";
constexpr const char *LargeModel = "model-large";

/// Double of one endpoint of a service. Serves plain responses and resumable
/// streams of numbered events. Thread-safe.
class endpoint_double {
public:
  endpoint_double(std::string Service, run_registry &Runs)
      : Service(std::move(Service)), Runs(Runs) {}

  served_response serve(const served_request &Request);
  /// Simulates a restart under a new instance id.
  void restart(const std::string &NewId);
  std::string id();
  const std::string &service() const { return Service; }
  void waitWhileStandingStill() const;

  std::atomic<endpoint_behavior> Behavior = endpoint_behavior::Healthy;
  /// Set while the endpoint neither reads nor writes.
  std::atomic<bool> StandsStill = false;
  /// Of 100 requests, how many are refused as not executed.
  std::atomic<std::size_t> RefusedPercent = 0;
  /// Set while all endpoints of the service fail.
  std::atomic<bool> IsServiceFailing = false;

private:
  served_response run(const served_request &Request,
                      const std::string &RequestId);

  const std::string Service;
  run_registry &Runs;
  std::mutex Mutex;
  std::string Id;
};

/// The text of one event of the stream that responds to a request.
std::string eventText(const std::string &Request, std::uint64_t Number);
/// The body of the plain response to a request.
std::string responseText(const std::string &Request);

} // namespace azurehaven::platform
