#include "LibEntry/engine_attempt.h"

#include <cmath>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

engine_failure failureFromStatus(const http_stream &Stream) {
  const int Status = Stream.status();
  const std::string Message =
      "the engine responded with status " + std::to_string(Status);
  if (Status == StatusUnavailable &&
      headerValue(Stream.headers(), "X-Leaving") == "yes")
    return {engine_fault::Leaving, Message};
  if (Status == StatusTooManyRequests || Status == StatusUnavailable)
    return {engine_fault::Busy, Message};
  return {engine_fault::Foreign, Message};
}

std::string makeRequestBody(const engine_attempt::parameters &Parameters) {
  json Body = *Parameters.CallerBody;
  Body["model"] = Parameters.Version.text();
  Body["stream"] = true;
  Body["priority"] = Parameters.Priority;
  if (!Parameters.ResumeText.empty())
    Body["resume_text"] = Parameters.ResumeText;
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

engine_finish parseFinish(const json &Event) {
  engine_finish Finish;
  const json Usage = Event.value("usage", json::object());
  Finish.PromptTokens = token_count(Usage.value("prompt_tokens", 0));
  Finish.CompletionTokens = token_count(Usage.value("completion_tokens", 0));
  Finish.Confidence = Event.value("confidence", 1.0);
  return Finish;
}

/// Throws a json::exception for anything but a number from 0 up, so that the
/// previous report stays in force.
double parseRate(const json &Value) {
  const double PerSecond = Value.get<double>();
  if (!std::isfinite(PerSecond) || PerSecond < 0)
    throw json::other_error::create(500, "requests_per_second: out of range",
                                    &Value);
  return PerSecond;
}

result<endpoint_report> parseEndpointReport(const std::string &Text) {
  // The JSON library throws on a field of the wrong type.
  try {
    const json Document = json::parse(Text);
    endpoint_report Report;
    for (const auto &Version : Document.value("versions", json::array()))
      Report.Versions.insert(version_id(Version.get<std::string>()));
    Report.Slots = std::max(1u, Document.value("slots", 1u));
    Report.Load = Document.value("load", 0u);
    Report.IsLeaving = Document.value("leaving", false);
    Report.BootId = Document.value("boot_id", std::string());
    if (Document.contains("requests_per_second"))
      Report.RequestsPerSecond = parseRate(Document["requests_per_second"]);
    return Report;
  } catch (const json::exception &Exception) {
    return error{error_code::InvalidInput, Exception.what()};
  }
}

} // namespace

const char *nameOf(engine_fault Fault) {
  switch (Fault) {
  case engine_fault::Busy:
    return "busy";
  case engine_fault::Leaving:
    return "leaving";
  case engine_fault::Unreachable:
    return "unreachable";
  case engine_fault::Broken:
    return "broken";
  case engine_fault::Foreign:
    return "foreign";
  }
  return "unknown";
}

engine_attempt::engine_attempt(std::unique_ptr<http_stream> Stream,
                               std::string AttemptId, version_id Version)
    : Stream(std::move(Stream)), AttemptId(std::move(AttemptId)),
      Version(std::move(Version)) {}

engine_attempt::~engine_attempt() {
  // Reads to the end of the body, so that the connection can be reused. The
  // caller has the complete response by now.
  if (IsComplete)
    (void)Stream->next();
}

std::variant<std::unique_ptr<engine_attempt>, engine_failure>
engine_attempt::open(http_transport &Transport, const network_address &Address,
                     const parameters &Parameters,
                     const http_timeouts &Timeouts) {
  http_request Request{"POST",
                       "/v1/chat/completions",
                       {{"Content-Type", "application/json"},
                        {"X-Request-Id", Parameters.AttemptId}},
                       makeRequestBody(Parameters)};
  auto Opened = Transport.open(Address, Request, Timeouts);
  if (auto *Failure = std::get_if<http_failure>(&Opened))
    return engine_failure{Failure->Delivery == delivery::NotSent
                              ? engine_fault::Unreachable
                              : engine_fault::Broken,
                          Failure->Message};
  auto Stream = std::move(std::get<std::unique_ptr<http_stream>>(Opened));
  if (Stream->status() != StatusOk)
    return failureFromStatus(*Stream);
  return std::unique_ptr<engine_attempt>(new engine_attempt(
      std::move(Stream), Parameters.AttemptId, Parameters.Version));
}

std::optional<std::uint32_t> engine_attempt::reportedLoad() const {
  const std::string Text = headerValue(Stream->headers(), "X-Engine-Load");
  if (Text.empty())
    return std::nullopt;
  return static_cast<std::uint32_t>(std::strtoul(Text.c_str(), nullptr, 10));
}

engine_event engine_attempt::next() {
  while (true) {
    while (auto Data = Parser.next())
      if (auto Event = parseEvent(*Data))
        return std::move(*Event);
    auto Chunk = Stream->next();
    if (auto *Failure = std::get_if<http_failure>(&Chunk))
      return engine_failure{engine_fault::Broken, Failure->Message};
    auto &Bytes = std::get<std::optional<std::string>>(Chunk);
    if (!Bytes)
      return engine_failure{engine_fault::Broken,
                            "the response ended without its end marker"};
    if (!Parser.add(*Bytes))
      return engine_failure{engine_fault::Foreign,
                            "the event exceeds the size limit"};
  }
}

std::optional<engine_event>
engine_attempt::parseEvent(const std::string &Data) {
  if (Data == "[DONE]") {
    if (!Finish)
      return engine_failure{engine_fault::Foreign,
                            "end marker before the finish reason"};
    IsComplete = true;
    return *Finish;
  }
  const json Event = json::parse(Data, nullptr, false);
  // The JSON library throws on a field of the wrong type.
  try {
    if (!Event.is_object() || Event.value("id", "") != AttemptId)
      return engine_failure{engine_fault::Foreign,
                            "response to another request"};
    if (Event.value("model", "") != Version.text())
      return engine_failure{engine_fault::Foreign,
                            "response of another version"};
    if (Finish)
      return engine_failure{engine_fault::Foreign,
                            "chunk after the finish reason"};
    const json &Choice = Event.at("choices").at(0);
    if (Choice.contains("finish_reason") && !Choice["finish_reason"].is_null())
      Finish = parseFinish(Event);
    std::string Text =
        Choice.value("delta", json::object()).value("content", std::string());
    if (Text.empty())
      return std::nullopt;
    return engine_text{std::move(Text)};
  } catch (const json::exception &Exception) {
    return engine_failure{engine_fault::Foreign, Exception.what()};
  }
}

result<endpoint_report> fetchEndpointReport(http_transport &Transport,
                                            const network_address &Address,
                                            milliseconds Timeout,
                                            connection_use Use) {
  auto Sent = Transport.send(Address, {"GET", "/status", {}, {}},
                             {Timeout, Timeout}, Use);
  if (auto *Failure = std::get_if<http_failure>(&Sent))
    return error{Failure->Delivery == delivery::NotSent
                     ? error_code::Unavailable
                     : error_code::OutcomeUnknown,
                 Failure->Message};
  const auto &Response = std::get<http_response>(Sent);
  if (Response.Status != StatusOk)
    return error{error_code::InvalidInput,
                 "status " + std::to_string(Response.Status)};
  return parseEndpointReport(Response.Body);
}

} // namespace azurehaven
