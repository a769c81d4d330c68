#include "LibEntry/caller_api.h"

#include "LibEntry/chat_run.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr milliseconds BusyRetryAfter{500};

std::string dump(const json &Document) {
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Counts a request as in flight during the lifetime of the guard.
class in_flight_guard {
public:
  explicit in_flight_guard(std::shared_ptr<std::atomic<std::size_t>> Count)
      : Count(std::move(Count)) {
    ++*this->Count;
  }
  ~in_flight_guard() { --*Count; }
  in_flight_guard(const in_flight_guard &) = delete;
  in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
  std::shared_ptr<std::atomic<std::size_t>> Count;
};

/// A body whose request is in flight until its end.
class guarded_body : public body_source {
public:
  guarded_body(std::unique_ptr<body_source> Source,
               std::unique_ptr<in_flight_guard> Guard)
      : Guard(std::move(Guard)), Source(std::move(Source)) {}
  std::optional<std::string> next() override { return Source->next(); }
  bool isComplete() const override { return Source->isComplete(); }

private:
  std::unique_ptr<in_flight_guard> Guard;
  std::unique_ptr<body_source> Source;
};

json makeChunk(const chat_run &Run, const json &Delta, const json &Finish) {
  return {{"id", Run.request().Id.text()},
          {"object", "chat.completion.chunk"},
          {"model", Run.version().text()},
          {"choices",
           {{{"index", 0}, {"delta", Delta}, {"finish_reason", Finish}}}}};
}

json makeUsage(const chat_end &End) {
  return {
      {"prompt_tokens", End.PromptTokens.count()},
      {"completion_tokens", End.CompletionTokens.count()},
      {"total_tokens", End.PromptTokens.count() + End.CompletionTokens.count()},
      {"price_micro_euros", End.Price.count()}};
}

/// Streams the response of a run as server-sent events.
class chat_stream : public body_source {
public:
  chat_stream(std::unique_ptr<chat_run> Run,
              std::unique_ptr<in_flight_guard> Guard)
      : Guard(std::move(Guard)), Run(std::move(Run)) {}

  std::optional<std::string> next() override {
    if (HasEnded)
      return std::nullopt;
    chat_event Event = Run->next();
    if (auto *Chunk = std::get_if<chat_text>(&Event))
      return formatEvent(
          dump(makeChunk(*Run, {{"content", Chunk->Text}}, nullptr)));
    HasEnded = true;
    if (auto *Refusal = std::get_if<refusal>(&Event))
      return formatEvent(encodeRefusal(*Refusal, Run->request().Id.text()));
    IsComplete = true;
    json Last = makeChunk(*Run, json::object(), "stop");
    Last["usage"] = makeUsage(std::get<chat_end>(Event));
    return formatEvent(dump(Last)) + formatEvent("[DONE]");
  }

  bool isComplete() const override { return IsComplete; }

private:
  std::unique_ptr<in_flight_guard> Guard;
  std::unique_ptr<chat_run> Run;
  bool HasEnded = false;
  bool IsComplete = false;
};

served_response collectResponse(chat_run &Run) {
  std::string Text;
  while (true) {
    chat_event Event = Run.next();
    if (auto *Chunk = std::get_if<chat_text>(&Event)) {
      Text += Chunk->Text;
      continue;
    }
    if (auto *Refusal = std::get_if<refusal>(&Event))
      return respondWith(*Refusal, Run.request().Id.text());
    served_response Response;
    Response.Headers.emplace_back("X-Request-Id", Run.request().Id.text());
    Response.Body =
        dump({{"id", Run.request().Id.text()},
              {"object", "chat.completion"},
              {"model", Run.version().text()},
              {"choices",
               {{{"index", 0},
                 {"message", {{"role", "assistant"}, {"content", Text}}},
                 {"finish_reason", "stop"}}}},
              {"usage", makeUsage(std::get<chat_end>(Event))}});
    return Response;
  }
}

std::optional<std::string> sessionTokenFor(const chat_run &Run,
                                           unix_millis Now) {
  const chat_request &Request = Run.request();
  if (Request.Session) {
    // Issues the token again under the current key, so that a key rotation
    // does not end the session.
    auto Token =
        issueSessionToken(*Request.Session, Request.Configuration->SessionKeys);
    return isError(Token) ? std::nullopt : std::optional(valueOf(Token));
  }
  if (Request.SessionRequest == session_request::None)
    return std::nullopt;
  auto Token = issueSessionToken({Request.Account.Id, Request.Class.Id,
                                  Run.version(), Now, Request.Id.text()},
                                 Request.Configuration->SessionKeys);
  return isError(Token) ? std::nullopt : std::optional(valueOf(Token));
}

} // namespace

caller_api::caller_api(const entry_services &Services)
    : Services(Services), Relay(Services), Forwarder(Services),
      InFlight(std::make_shared<std::atomic<std::size_t>>(0)) {}

std::string caller_api::issueRequestId() {
  return Services.Settings.Vm.text() + "-" +
         std::to_string(Services.Clock.wallNow().count()) + "-" +
         std::to_string(NextRequest++);
}

served_response caller_api::serve(const served_request &Request) {
  served_response Response = handleRequest(Request);
  Services.Metrics.increment("azurehaven_requests_total",
                             "status=\"" + std::to_string(Response.Status) +
                                 "\"");
  if (!Response.RefusalCode.empty())
    Services.Metrics.increment("azurehaven_refusals_total",
                               "code=\"" + Response.RefusalCode + "\"");
  return Response;
}

served_response caller_api::handleRequest(const served_request &Request) {
  if (Request.Path == "/v1/entries" && Request.Method == "GET")
    return serveDiscovery();
  const std::string Issued = issueRequestId();
  if (*InFlight >= Services.Settings.MaximumStreams)
    return respondWith({503, "too_many_requests", run_state::NotRun,
                        "this VM serves its maximum number of requests",
                        BusyRetryAfter},
                       Issued);
  auto Current = Services.currentConfiguration();
  if (!Current)
    return respondWith({503, "configuration_not_current", run_state::NotRun,
                        "this VM can't confirm that its configuration is the "
                        "newest; use another entry VM",
                        BusyRetryAfter},
                       Issued);
  auto Identified = identifyCaller(Request, *Current, Issued);
  if (auto *Refusal = std::get_if<refusal>(&Identified))
    return respondWith(*Refusal, Issued);
  auto &Identity = std::get<caller_identity>(Identified);
  const bool IsChat =
      Request.Path == "/v1/chat/completions" && Request.Method == "POST";
  if (IsChat || Request.Path.starts_with("/v1/services/"))
    if (auto Response = serveByPeer(Request, Identity.Id))
      return std::move(*Response);
  if (IsChat)
    return serveChat(Request, std::move(Identity), std::move(Current));
  if (Request.Path.starts_with("/v1/services/")) {
    in_flight_guard Guard(InFlight);
    return Relay.serve(Request, Identity, *Current);
  }
  const std::string OutcomePrefix = "/v1/outcomes/";
  if (Request.Path.starts_with(OutcomePrefix) && Request.Method == "GET") {
    Identity.Id = request_id(Request.Path.substr(OutcomePrefix.size()));
    return Relay.serveOutcome(Identity);
  }
  return respondWith({404, "unknown_path", run_state::NotRun,
                      "accepted: /v1/entries, /v1/chat/completions, "
                      "/v1/services/SERVICE/..., /v1/outcomes/REQUEST",
                      std::nullopt},
                     Issued);
}

std::optional<served_response>
caller_api::serveByPeer(const served_request &Request, const request_id &Id) {
  if (peer_forwarder::isForwarded(Request) ||
      !Services.Router.reachesNoEndpoint())
    return std::nullopt;
  auto Guard = std::make_unique<in_flight_guard>(InFlight);
  auto Response = Forwarder.forward(Request, Id.text());
  if (Response && Response->Source)
    Response->Source = std::make_unique<guarded_body>(
        std::move(Response->Source), std::move(Guard));
  return Response;
}

served_response caller_api::serveDiscovery() {
  auto Serving = Services.Members.servingEntries(Services.Clock.now());
  // Rotates the list on each call to distribute the callers evenly.
  if (!Serving.empty())
    std::rotate(Serving.begin(),
                Serving.begin() + static_cast<std::ptrdiff_t>(NextDiscovery++ %
                                                              Serving.size()),
                Serving.end());
  json Entries = json::array();
  for (const auto &Entry : Serving)
    Entries.push_back({{"vm", Entry.Vm.text()},
                       {"domain", Entry.Domain.text()},
                       {"address", Entry.Address.text()}});
  served_response Response;
  Response.Body =
      dump({{"entries", Entries},
            {"keep_ms", Services.Settings.DiscoveryTimeToLive.count()}});
  return Response;
}

served_response
caller_api::serveChat(const served_request &Request, caller_identity Identity,
                      std::shared_ptr<const configuration> Current) {
  auto Guard = std::make_unique<in_flight_guard>(InFlight);
  const std::string Id = Identity.Id.text();
  auto Parsed =
      parseChatRequest(Request, std::move(Identity), std::move(Current),
                       Services.Clock.now(), Services.Clock.wallNow());
  if (auto *Refusal = std::get_if<refusal>(&Parsed))
    return respondWith(*Refusal, Id);
  auto Run = std::make_unique<chat_run>(
      Services, std::move(std::get<chat_request>(Parsed)));
  if (auto Refusal = Run->start())
    return respondWith(*Refusal, Id);
  const auto Token = sessionTokenFor(*Run, Services.Clock.wallNow());
  const std::string Version = Run->version().text();
  served_response Response;
  if (Run->request().Mode == response_mode::Buffered) {
    Response = collectResponse(*Run);
  } else {
    Response.ContentType = "text/event-stream";
    Response.Headers.emplace_back("X-Request-Id", Id);
    Response.Source =
        std::make_unique<chat_stream>(std::move(Run), std::move(Guard));
  }
  Response.Headers.emplace_back("X-Model-Version", Version);
  if (Token)
    Response.Headers.emplace_back("X-Session-Token", *Token);
  return Response;
}

} // namespace azurehaven
