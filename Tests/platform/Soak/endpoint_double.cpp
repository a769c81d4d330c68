#include "Soak/endpoint_double.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace azurehaven::platform {

namespace {

using nlohmann::json;

constexpr milliseconds EventInterval{40};
constexpr milliseconds StandstillPollInterval{10};
constexpr milliseconds PlainProcessingTime{60};
/// Plain requests for some paths take long.
constexpr milliseconds SlowProcessingTime{1500};
constexpr const char *SlowPathEnding = "7";
/// Number of events sent before TruncatingStreams truncates the stream.
constexpr std::uint64_t EventsBeforeTruncation = 5;

/// Produces the numbered events of a stream, starting at a given one.
class event_source : public body_source {
public:
  event_source(run_registry &Runs, std::string Request, std::string Endpoint,
               std::uint64_t First, bool ShouldTruncate,
               const endpoint_double &Double)
      : Runs(Runs), Request(std::move(Request)), Endpoint(std::move(Endpoint)),
        Double(Double), Next(First), ShouldTruncate(ShouldTruncate) {}
  ~event_source() override { Runs.ended(request_id(Request), Endpoint); }

  std::optional<std::string> next() override {
    if (Next > StreamEvents)
      return std::nullopt;
    if (ShouldTruncate && Sent == EventsBeforeTruncation) {
      WasTruncated = true;
      return std::nullopt;
    }
    std::this_thread::sleep_for(EventInterval);
    Double.waitWhileStandingStill();
    ++Sent;
    return eventText(Request, Next++);
  }
  bool isComplete() const override { return !WasTruncated; }

private:
  run_registry &Runs;
  const std::string Request;
  const std::string Endpoint;
  const endpoint_double &Double;
  std::uint64_t Next;
  const bool ShouldTruncate;
  std::uint64_t Sent = 0;
  bool WasTruncated = false;
};

served_response refuse(int Status, const std::string &Request) {
  served_response Response;
  Response.Status = Status;
  Response.Headers = {{"Azurehaven-Not-Executed", "1"}};
  if (!Request.empty())
    Response.Headers.emplace_back("Azurehaven-Attempt-Id", Request);
  return Response;
}

} // namespace

std::string eventText(const std::string &Request, std::uint64_t Number) {
  const std::string Text = std::to_string(Number);
  return "id: " + Text + "\ndata: " + Request + " " + Text + "\n\n";
}

std::string responseText(const std::string &Request) {
  return "answer to " + Request;
}

void endpoint_double::restart(const std::string &NewId) {
  std::lock_guard Lock(Mutex);
  Id = NewId;
  Behavior = endpoint_behavior::Healthy;
}

std::string endpoint_double::id() {
  std::lock_guard Lock(Mutex);
  return Id;
}

void endpoint_double::waitWhileStandingStill() const {
  while (StandsStill)
    std::this_thread::sleep_for(StandstillPollInterval);
}

served_response endpoint_double::serve(const served_request &Request) {
  waitWhileStandingStill();
  if (Request.Path == "/v1/report") {
    served_response Response;
    Response.Body = json{
        {"running", 1},
        {"queued", 0},
        {"kv_used", 0},
        {"kv_total", 100000},
        {"runs",
         json::array()}}.dump();
    return Response;
  }
  const std::string RequestId =
      headerValue(Request.Headers, "Azurehaven-Attempt-Id");
  const std::string Expected =
      headerValue(Request.Headers, "Azurehaven-Expect-Instance");
  const std::string Own = id();
  Runs.arrived(request_id(RequestId), Service);
  if (!Expected.empty() && Expected != Own)
    return refuse(421, RequestId);
  const bool IsEven = std::hash<std::string>{}(RequestId) % 2 == 0;
  if (Behavior == endpoint_behavior::SheddingHalf && IsEven)
    return refuse(503, {});
  if (std::hash<std::string>{}(Own + RequestId) % 100 < RefusedPercent)
    return refuse(503, RequestId);
  if (Behavior == endpoint_behavior::Full)
    return refuse(503, RequestId);
  return run(Request, RequestId);
}

served_response endpoint_double::run(const served_request &Request,
                                     const std::string &RequestId) {
  Runs.started(request_id(RequestId),
               {id(), headerValue(Request.Headers, "Azurehaven-Tenant"),
                Request.Path, std::chrono::steady_clock::now()});
  served_response Response;
  Response.Headers = {{"Azurehaven-Attempt-Id", RequestId},
                      {"Azurehaven-Response-Seal", "seal-" + RequestId}};
  if (Behavior == endpoint_behavior::Failing || IsServiceFailing) {
    Response.Status = 500;
    Runs.ended(request_id(RequestId), id());
    return Response;
  }
  if (!Request.Path.starts_with("/stream/")) {
    const bool IsSlow = Request.Path.ends_with(SlowPathEnding);
    std::this_thread::sleep_for(IsSlow ? SlowProcessingTime
                                       : PlainProcessingTime);
    waitWhileStandingStill();
    Response.ContentType = "text/plain";
    Response.Body = responseText(RequestId);
    return Response;
  }
  const std::string After = headerValue(Request.Headers, "Last-Event-Id");
  const bool IsSmall =
      headerValue(Request.Headers, "Azurehaven-Model") == SmallModel;
  // Half of the small model's responses have a low confidence, which makes the
  // entry process escalate.
  const bool HasLowConfidence =
      IsSmall && std::hash<std::string>{}(RequestId) % 2 == 0;
  Response.Headers.emplace_back("Azurehaven-Confidence",
                                HasLowConfidence ? "10" : "90");
  Response.ContentType = "text/event-stream";
  Response.Source = std::make_unique<event_source>(
      Runs, RequestId, id(), After.empty() ? 1 : std::stoull(After) + 1,
      Behavior == endpoint_behavior::TruncatingStreams, *this);
  return Response;
}

} // namespace azurehaven::platform
