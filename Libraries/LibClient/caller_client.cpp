#include "LibClient/caller_client.h"

#include "LibHttp/server_sent_events.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;

milliseconds sinceStart(steady_time StartedAt) {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - StartedAt);
}

/// Takes over the fields of a refusal, if the document is one.
void readRefusal(const json &Document, caller_answer &Answer) {
  if (!Document.is_object() || !Document.contains("error") ||
      !Document["error"].is_object())
    return;
  const json &Error = Document["error"];
  Answer.ErrorCode = Error.value("code", std::string("unknown"));
  Answer.ErrorMessage = Error.value("message", std::string());
  Answer.Run = Error.value("run", std::string());
  if (Error.contains("retry_after_ms") && Error["retry_after_ms"].is_number())
    Answer.RetryAfter =
        milliseconds(Error["retry_after_ms"].get<std::int64_t>());
}

void readUsage(const json &Document, caller_answer &Answer) {
  if (!Document.contains("usage"))
    return;
  Answer.PriceMicroEuros = Document["usage"].value("price_micro_euros", 0);
  Answer.CompletionTokens = Document["usage"].value("completion_tokens", 0);
}

void setFailure(const http_failure &Failure, caller_answer &Answer) {
  Answer.ErrorCode = "connection_failed";
  Answer.ErrorMessage = Failure.Message;
  Answer.Run =
      Failure.Delivery == delivery::NotSent ? "not_run" : "may_have_run";
}

void readHead(const http_headers &Headers, caller_answer &Answer) {
  Answer.RequestId = headerValue(Headers, "X-Request-Id");
  Answer.Version = headerValue(Headers, "X-Model-Version");
  Answer.SessionToken = headerValue(Headers, "X-Session-Token");
}

} // namespace

result<std::vector<known_entry>>
caller_client::discover(const network_address &From) {
  auto Sent = Transport.send(From, {"GET", "/v1/entries", {}, {}}, Timeouts,
                             connection_use::Pooled);
  if (auto *Failure = std::get_if<http_failure>(&Sent))
    return error{error_code::Unavailable, Failure->Message};
  const json Document =
      json::parse(std::get<http_response>(Sent).Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("entries"))
    return error{error_code::Unavailable, "unreadable discovery answer"};
  std::vector<known_entry> Entries;
  for (const auto &Item : Document["entries"]) {
    TRY(network_address Address,
        parseNetworkAddress(Item.value("address", std::string())));
    Entries.push_back({Item.value("vm", std::string()), Address});
  }
  return Entries;
}

caller_answer caller_client::ask(const network_address &Entry,
                                 const caller_question &Question) {
  http_request Request{"POST", "/v1/chat/completions", {}, {}};
  Request.Headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + Question.Key},
                     {"X-Work-Class", Question.Class}};
  if (!Question.RequestId.empty())
    Request.Headers.emplace_back("X-Request-Id", Question.RequestId);
  if (!Question.SessionToken.empty())
    Request.Headers.emplace_back("X-Session-Token", Question.SessionToken);
  if (Question.WantsSession)
    Request.Headers.emplace_back("X-Session", "new");
  Request.Body =
      json{{"messages", {{{"role", "user"}, {"content", Question.Text}}}},
           {"stream", Question.IsStreamed}}
          .dump(-1, ' ', false, json::error_handler_t::replace);
  caller_answer Answer;
  Answer.ServedBy = Entry.text();
  const steady_time StartedAt = std::chrono::steady_clock::now();
  auto Opened = Transport.open(Entry, Request, Timeouts);
  if (auto *Failure = std::get_if<http_failure>(&Opened)) {
    setFailure(*Failure, Answer);
    return Answer;
  }
  auto &Stream = *std::get<std::unique_ptr<http_stream>>(Opened);
  Answer.Status = Stream.status();
  readHead(Stream.headers(), Answer);
  const std::string Type = headerValue(Stream.headers(), "Content-Type");
  if (Type.starts_with("text/event-stream"))
    readEvents(Stream, StartedAt, Answer);
  else
    readWhole(Stream, Answer);
  Answer.Whole = sinceStart(StartedAt);
  if (Answer.FirstToken == milliseconds(0))
    Answer.FirstToken = Answer.Whole;
  return Answer;
}

void caller_client::readWhole(http_stream &Stream, caller_answer &Answer) {
  std::string Body;
  while (true) {
    auto Part = Stream.next();
    if (auto *Failure = std::get_if<http_failure>(&Part))
      return setFailure(*Failure, Answer);
    auto &Bytes = std::get<std::optional<std::string>>(Part);
    if (!Bytes)
      break;
    Body += *Bytes;
  }
  const json Document = json::parse(Body, nullptr, false);
  readRefusal(Document, Answer);
  if (Answer.Status != StatusOk || !Document.is_object() ||
      !Document.contains("choices"))
    return;
  Answer.Text = Document["choices"][0]["message"].value("content", "");
  readUsage(Document, Answer);
  Answer.IsWhole = true;
}

void caller_client::readEvents(http_stream &Stream, steady_time StartedAt,
                               caller_answer &Answer) {
  event_stream_parser Parser;
  bool IsFinished = false;
  while (true) {
    auto Part = Stream.next();
    if (auto *Failure = std::get_if<http_failure>(&Part)) {
      if (Answer.ErrorCode.empty())
        setFailure(*Failure, Answer);
      return;
    }
    auto &Bytes = std::get<std::optional<std::string>>(Part);
    if (!Bytes || !Parser.add(*Bytes))
      return;
    while (auto Data = Parser.next()) {
      if (*Data == "[DONE]") {
        Answer.IsWhole = IsFinished;
        continue;
      }
      const json Event = json::parse(*Data, nullptr, false);
      readRefusal(Event, Answer);
      if (!Event.is_object() || !Event.contains("choices"))
        continue;
      const json &Choice = Event["choices"][0];
      if (Choice.contains("delta") && Choice["delta"].contains("content")) {
        if (Answer.Text.empty())
          Answer.FirstToken = sinceStart(StartedAt);
        Answer.Text += Choice["delta"]["content"].get<std::string>();
      }
      if (Choice.contains("finish_reason") &&
          !Choice["finish_reason"].is_null()) {
        IsFinished = true;
        readUsage(Event, Answer);
      }
    }
  }
}

caller_answer caller_client::callService(const network_address &Entry,
                                         const std::string &Key,
                                         const std::string &RequestId,
                                         const std::string &Path,
                                         const std::string &Body,
                                         bool MayRepeat) {
  http_request Request{"POST", "/v1/services" + Path, {}, Body};
  Request.Headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + Key},
                     {"X-May-Repeat", MayRepeat ? "yes" : "no"}};
  if (!RequestId.empty())
    Request.Headers.emplace_back("X-Request-Id", RequestId);
  caller_answer Answer;
  Answer.ServedBy = Entry.text();
  const steady_time StartedAt = std::chrono::steady_clock::now();
  auto Sent = Transport.send(Entry, Request, Timeouts, connection_use::Fresh);
  Answer.Whole = sinceStart(StartedAt);
  if (auto *Failure = std::get_if<http_failure>(&Sent)) {
    setFailure(*Failure, Answer);
    return Answer;
  }
  const auto &Response = std::get<http_response>(Sent);
  Answer.Status = Response.Status;
  readHead(Response.Headers, Answer);
  readRefusal(json::parse(Response.Body, nullptr, false), Answer);
  Answer.IsWhole = Answer.ErrorCode.empty();
  if (Answer.IsWhole)
    Answer.Text = Response.Body;
  return Answer;
}

} // namespace azurehaven
