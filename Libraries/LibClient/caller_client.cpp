#include "LibClient/caller_client.h"

#include "LibHttp/server_sent_events.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;

milliseconds elapsedSince(steady_time StartedAt) {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - StartedAt);
}

json messagesOf(const caller_request &Request) {
  json Messages = json::array();
  const auto Add = [&](const char *Role, const std::string &Text) {
    Messages.push_back({{"role", Role}, {"content", Text}});
  };
  if (!Request.SystemText.empty())
    Add("system", Request.SystemText);
  if (!Request.EarlierText.empty())
    Add("user", Request.EarlierText);
  Add("user", Request.Text);
  return Messages;
}

/// Copies the fields of an error document; ignores any other document.
void readError(const json &Document, caller_response &Response) {
  if (!Document.is_object() || !Document.contains("error") ||
      !Document["error"].is_object())
    return;
  const json &Error = Document["error"];
  Response.ErrorCode = Error.value("code", std::string("unknown"));
  Response.ErrorMessage = Error.value("message", std::string());
  Response.ExecutionStatus = Error.value("run", std::string());
  if (Error.contains("retry_after_ms") && Error["retry_after_ms"].is_number())
    Response.RetryAfter =
        milliseconds(Error["retry_after_ms"].get<std::int64_t>());
}

void readUsage(const json &Document, caller_response &Response) {
  if (!Document.contains("usage"))
    return;
  Response.PriceMicroEuros = Document["usage"].value("price_micro_euros", 0);
  Response.CompletionTokens = Document["usage"].value("completion_tokens", 0);
}

void setFailure(const http_failure &Failure, caller_response &Response) {
  Response.ErrorCode = "connection_failed";
  Response.ErrorMessage = Failure.Message;
  Response.ExecutionStatus =
      Failure.Delivery == delivery::NotSent ? "not_run" : "may_have_run";
}

void readResponseHead(const http_headers &Headers, caller_response &Response) {
  Response.RequestId = headerValue(Headers, "X-Request-Id");
  Response.Version = headerValue(Headers, "X-Model-Version");
  Response.SessionToken = headerValue(Headers, "X-Session-Token");
}

} // namespace

result<std::vector<entry_vm>>
caller_client::discover(const network_address &From) {
  auto Sent = Transport.send(From, {"GET", "/v1/entries", {}, {}}, Timeouts,
                             connection_use::Pooled);
  if (auto *Failure = std::get_if<http_failure>(&Sent))
    return error{error_code::Unavailable, Failure->Message};
  const json Document =
      json::parse(std::get<http_response>(Sent).Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("entries"))
    return error{error_code::Unavailable, "malformed discovery response"};
  std::vector<entry_vm> Entries;
  for (const auto &Item : Document["entries"]) {
    TRY(network_address Address,
        parseNetworkAddress(Item.value("address", std::string())));
    Entries.push_back({Item.value("vm", std::string()), Address});
  }
  return Entries;
}

caller_response caller_client::sendChat(const network_address &Entry,
                                        const caller_request &Request) {
  http_request HttpRequest{"POST", "/v1/chat/completions", {}, {}};
  HttpRequest.Headers = {{"Content-Type", "application/json"},
                         {"Authorization", "Bearer " + Request.Key},
                         {"X-Work-Class", Request.Class}};
  if (!Request.RequestId.empty())
    HttpRequest.Headers.emplace_back("X-Request-Id", Request.RequestId);
  if (!Request.SessionToken.empty())
    HttpRequest.Headers.emplace_back("X-Session-Token", Request.SessionToken);
  if (Request.StartsSession)
    HttpRequest.Headers.emplace_back("X-Session", "new");
  HttpRequest.Body =
      json{{"messages", messagesOf(Request)}, {"stream", Request.IsStreamed}}
          .dump(-1, ' ', false, json::error_handler_t::replace);
  caller_response Response;
  Response.EntryAddress = Entry.text();
  const steady_time StartedAt = std::chrono::steady_clock::now();
  auto Opened = Transport.open(Entry, HttpRequest, Timeouts);
  if (auto *Failure = std::get_if<http_failure>(&Opened)) {
    setFailure(*Failure, Response);
    return Response;
  }
  auto &Stream = *std::get<std::unique_ptr<http_stream>>(Opened);
  Response.Status = Stream.status();
  readResponseHead(Stream.headers(), Response);
  const std::string ContentType = headerValue(Stream.headers(), "Content-Type");
  if (ContentType.starts_with("text/event-stream"))
    readEvents(Stream, StartedAt, Response);
  else
    readCompleteBody(Stream, Response);
  Response.TotalTime = elapsedSince(StartedAt);
  if (Response.TimeToFirstToken == milliseconds(0))
    Response.TimeToFirstToken = Response.TotalTime;
  return Response;
}

void caller_client::readCompleteBody(http_stream &Stream,
                                     caller_response &Response) {
  std::string Body;
  while (true) {
    auto Chunk = Stream.next();
    if (auto *Failure = std::get_if<http_failure>(&Chunk))
      return setFailure(*Failure, Response);
    auto &Bytes = std::get<std::optional<std::string>>(Chunk);
    if (!Bytes)
      break;
    Body += *Bytes;
  }
  const json Document = json::parse(Body, nullptr, false);
  readError(Document, Response);
  if (Response.Status != StatusOk || !Document.is_object() ||
      !Document.contains("choices"))
    return;
  Response.Text = Document["choices"][0]["message"].value("content", "");
  readUsage(Document, Response);
  Response.IsComplete = true;
}

void caller_client::readEvents(http_stream &Stream, steady_time StartedAt,
                               caller_response &Response) {
  event_stream_parser Parser;
  bool HasFinishReason = false;
  while (true) {
    auto Chunk = Stream.next();
    if (auto *Failure = std::get_if<http_failure>(&Chunk)) {
      if (Response.ErrorCode.empty())
        setFailure(*Failure, Response);
      return;
    }
    auto &Bytes = std::get<std::optional<std::string>>(Chunk);
    if (!Bytes || !Parser.add(*Bytes))
      return;
    while (auto Data = Parser.next()) {
      if (*Data == "[DONE]") {
        Response.IsComplete = HasFinishReason;
        continue;
      }
      const json Event = json::parse(*Data, nullptr, false);
      readError(Event, Response);
      if (!Event.is_object() || !Event.contains("choices"))
        continue;
      const json &Choice = Event["choices"][0];
      if (Choice.contains("delta") && Choice["delta"].contains("content")) {
        if (Response.Text.empty())
          Response.TimeToFirstToken = elapsedSince(StartedAt);
        Response.Text += Choice["delta"]["content"].get<std::string>();
      }
      if (Choice.contains("finish_reason") &&
          !Choice["finish_reason"].is_null()) {
        HasFinishReason = true;
        readUsage(Event, Response);
      }
    }
  }
}

caller_response caller_client::callService(const network_address &Entry,
                                           const std::string &Key,
                                           const std::string &RequestId,
                                           const std::string &Path,
                                           const std::string &Body,
                                           bool MayRepeat) {
  http_request HttpRequest{"POST", "/v1/services" + Path, {}, Body};
  HttpRequest.Headers = {{"Content-Type", "application/json"},
                         {"Authorization", "Bearer " + Key},
                         {"X-May-Repeat", MayRepeat ? "yes" : "no"}};
  if (!RequestId.empty())
    HttpRequest.Headers.emplace_back("X-Request-Id", RequestId);
  caller_response Response;
  Response.EntryAddress = Entry.text();
  const steady_time StartedAt = std::chrono::steady_clock::now();
  auto Sent =
      Transport.send(Entry, HttpRequest, Timeouts, connection_use::Fresh);
  Response.TotalTime = elapsedSince(StartedAt);
  if (auto *Failure = std::get_if<http_failure>(&Sent)) {
    setFailure(*Failure, Response);
    return Response;
  }
  const auto &HttpResponse = std::get<http_response>(Sent);
  Response.Status = HttpResponse.Status;
  readResponseHead(HttpResponse.Headers, Response);
  readError(json::parse(HttpResponse.Body, nullptr, false), Response);
  Response.IsComplete = Response.ErrorCode.empty();
  if (Response.IsComplete)
    Response.Text = HttpResponse.Body;
  return Response;
}

} // namespace azurehaven
