#include "chat_run_fixture.h"

#include "LibHttp/server_sent_events.h"

namespace azurehaven {

using nlohmann::json;

namespace {

const version_id Version("m@1");
const version_id LargerVersion("large@1");
const endpoint_id LargerEngine("engine-large");
const class_id Class("survey");
constexpr std::uint32_t EngineSlots = 8;
constexpr milliseconds ClassDeadline{1000};
constexpr milliseconds FlushInterval{1};

class scripted_stream : public http_stream {
public:
  scripted_stream(std::string AttemptId, std::string Version,
                  engine_script Script)
      : AttemptId(std::move(AttemptId)), Version(std::move(Version)),
        Script(Script) {}

  int status() const override { return 200; }
  const http_headers &headers() const override { return Headers; }
  std::variant<std::optional<std::string>, http_failure> next() override {
    if (Sent < Script.ChunkCount) {
      ++Sent;
      return std::optional(chunk("text", nullptr));
    }
    if (Script.End != response_end::Complete)
      return http_failure{delivery::MayHaveRun, "cut"};
    if (Sent++ == Script.ChunkCount)
      return std::optional(chunk("", "stop") + formatEvent("[DONE]"));
    return std::optional<std::string>();
  }

private:
  std::string chunk(const char *Text, const json &FinishReason) const {
    return formatEvent(json{
        {"id", AttemptId},
        {"model", Version},
        {"confidence", Script.Confidence},
        {"choices",
         {{{"delta", {{"content", Text}}}, {"finish_reason", FinishReason}}}}}
                           .dump());
  }

  const http_headers Headers;
  const std::string AttemptId;
  const std::string Version;
  const engine_script Script;
  int Sent = 0;
};

endpoint_id engineId(int Number) {
  return endpoint_id("engine-" + std::to_string(Number));
}

configuration makeConfiguration() {
  configuration Configuration;
  Configuration.Version = 1;
  work_class &Survey = Configuration.Classes[Class];
  Survey.Id = Class;
  Survey.QualityTarget = 0.8;
  Survey.FirstTokenTarget = milliseconds(5000);
  Survey.Deadline = ClassDeadline;
  client_account Account;
  Account.Id = client_account_id("pindos");
  Account.AllowedModels = {model_id("m"), model_id("large")};
  Configuration.Accounts[Account.Id] = Account;
  Configuration.Versions[Version] = {Version, model_id("m"), micro_euros(10),
                                     micro_euros(10), version_state::Active};
  return Configuration;
}

listed_vm makeEngine(const endpoint_id &Id, std::uint16_t Port) {
  listed_vm Engine;
  Engine.Vm = vm_id(Id.text());
  Engine.Kind = vm_kind::Engine;
  Engine.Address = {"127.0.0.1", Port};
  return Engine;
}

} // namespace

open_result scripted_engines::open(const network_address &To,
                                   const http_request &Request,
                                   const http_timeouts &) {
  if (PeerScript && To.Host == PeerHost)
    return PeerScript(To, Request);
  ++OpenedCount;
  const engine_script Chosen = Script(Request.Body);
  if (Chosen.End == response_end::Crash)
    ++CrashCount;
  return std::make_unique<scripted_stream>(
      headerValue(Request.Headers, "X-Request-Id"),
      json::parse(Request.Body).at("model").get<std::string>(), Chosen);
}

send_result scripted_engines::send(const network_address &,
                                   const http_request &, const http_timeouts &,
                                   connection_use) {
  if (StatusScript)
    return StatusScript(StatusCount++);
  return http_response{200, {}, json{{"boot_id", bootId()}}.dump()};
}

chat_run_fixture::chat_run_fixture(int EngineCount)
    : EngineCount(EngineCount), Services{Settings,      Clock,   Log,
                                         Metrics,       Engines, Configuration,
                                         Freshness,     Members, Router,
                                         PromptCrashes, Gate,    Decisions,
                                         Bills,         Claims,  RequestIds,
                                         Store,         Ratings, [] {}} {
  Settings.Vm = vm_id("vm");
  Configuration.replaceIfNewer(makeConfiguration());
  std::vector<listed_vm> List = {makeEngine(LargerEngine, 1000)};
  for (int Number = 0; Number < EngineCount; ++Number)
    List.push_back(
        makeEngine(engineId(Number), static_cast<std::uint16_t>(1 + Number)));
  Router.applyList(List, 1);
  reportEngines();
  Flusher = std::thread([this] {
    while (!IsStopping) {
      Bills.flush(std::chrono::steady_clock::now());
      std::this_thread::sleep_for(FlushInterval);
    }
  });
}

chat_run_fixture::~chat_run_fixture() {
  IsStopping = true;
  Flusher.join();
}

void chat_run_fixture::reportEngines() {
  for (int Number = 0; Number < EngineCount; ++Number)
    Router.updateEndpointReport(
        engineId(Number), {{Version}, EngineSlots, 0, false, Engines.bootId()},
        Clock.Now);
}

void chat_run_fixture::addLargerVersion() {
  configuration Changed = *Configuration.current();
  ++Changed.Version;
  Changed.Versions[LargerVersion] = {LargerVersion, model_id("large"),
                                     micro_euros(1000), micro_euros(1000),
                                     version_state::Active};
  Configuration.replaceIfNewer(Changed);
  Router.updateEndpointReport(
      LargerEngine, {{LargerVersion}, EngineSlots, 0, false, Engines.bootId()},
      Clock.Now);
  for (int Rating = 0; Rating < 200; ++Rating) {
    Router.addRating({Version, Class}, answer_role::Direct, 0.9, 0.95);
    Router.addRating({Version, Class}, answer_role::Direct, 0.3, 0.2);
    Router.addRating({LargerVersion, Class}, answer_role::Direct, 0.9, 0.95);
  }
}

void chat_run_fixture::loseLargerVersion() {
  Router.markEndpointLeaving(LargerEngine);
}

void chat_run_fixture::addPeers(const std::vector<vm_id> &Vms) {
  std::vector<listed_vm> List;
  for (const vm_id &Vm : Vms) {
    listed_vm Entry;
    Entry.Vm = Vm;
    Entry.Address = {PeerHost, static_cast<std::uint16_t>(1 + List.size())};
    List.push_back(Entry);
  }
  Members.applyList(List, Clock.Now);
  for (const vm_id &Vm : Vms) {
    Members.recordContact(Vm, 1, Clock.Now);
    Members.merge({Vm, 1, member_state::Serving, {}});
  }
}

void chat_run_fixture::losePath() {
  Router.recordEndpointPollFailure(LargerEngine, Clock.Now);
  for (int Number = 0; Number < EngineCount; ++Number)
    Router.recordEndpointPollFailure(engineId(Number), Clock.Now);
}

void chat_run_fixture::addKey(const std::string &Key) {
  configuration Changed = *Configuration.current();
  ++Changed.Version;
  Changed.Accounts.begin()->second.KeyHash = hashAccountKey(Key);
  Configuration.replaceIfNewer(Changed);
  Freshness.recordStoreConfirmation(Changed.Version, Clock.Now);
}

chat_request
chat_run_fixture::makeRequest(const std::vector<std::string> &SharedMessages) {
  Freshness.recordStoreConfirmation(Configuration.current()->Version,
                                    Clock.Now);
  json Messages = json::array();
  for (const std::string &Text : SharedMessages)
    Messages.push_back({{"role", "system"}, {"content", Text}});
  const std::string Own = "own-" + std::to_string(++RequestCount);
  Messages.push_back({{"role", "user"}, {"content", Own}});
  served_request Request{"POST", "/v1/chat/completions", {}, {}, {}};
  Request.Headers = {{"X-Work-Class", Class.text()}};
  Request.Body = json{{"messages", Messages}, {"stream", true}}.dump();
  const auto Current = Configuration.current();
  auto Parsed = parseChatRequest(
      Request,
      {request_id(Own), id_origin::Caller, Current->Accounts.begin()->second},
      Current, Clock.Now, Clock.wallNow());
  return std::get<chat_request>(std::move(Parsed));
}

} // namespace azurehaven
