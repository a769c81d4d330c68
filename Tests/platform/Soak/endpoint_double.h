#pragma once

#include "LibServer/http_server.h"
#include "Soak/run_registry.h"

#include <atomic>

namespace azurehaven::platform {

enum class endpoint_behavior { Healthy, Full, Failing, CuttingStreams };

/// Numbers of events in the streams of the endpoints.
constexpr std::uint64_t StreamEvents = 12;
/// The models of the streams, smallest first.
constexpr const char *SmallModel = "model-small";
constexpr const char *LargeModel = "model-large";

/// One server of a service: plain answers, and streams of numbered events that
/// can be resumed. Thread-safe.
class endpoint_double {
public:
  endpoint_double(std::string Service, run_registry &Runs)
      : Service(std::move(Service)), Runs(Runs) {}

  served_response serve(const served_request &Request);
  /// A new start under a new id.
  void restart(const std::string &NewId);
  std::string id();
  const std::string &service() const { return Service; }

  std::atomic<endpoint_behavior> Behavior = endpoint_behavior::Healthy;

private:
  served_response run(const served_request &Request, const std::string &Id);

  const std::string Service;
  run_registry &Runs;
  std::mutex Mutex;
  std::string Id;
};

/// The text of one event, and of a plain answer, to this request.
std::string eventText(const std::string &Request, std::uint64_t Number);
std::string responseText(const std::string &Request);

} // namespace azurehaven::platform
