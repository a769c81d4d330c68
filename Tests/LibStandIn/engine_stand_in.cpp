#include "LibStandIn/engine_stand_in.h"

#include "LibHttp/percent_encoding.h"
#include "LibHttp/server_sent_events.h"
#include "LibTypes/fingerprint.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr int StatusBusy = 429;
constexpr int StatusUnavailable = 503;
/// Maximum number of queued requests, as a multiple of the slots.
constexpr unsigned QueueFactor = 4;

served_response respond(int Status, const json &Body) {
  served_response Response;
  Response.Status = Status;
  Response.Body = Body.dump();
  return Response;
}

} // namespace

struct engine_stand_in::shared_state {
  fault_switches Switches;
  std::mutex Mutex;
  std::condition_variable SlotFree;
  std::set<std::string> Versions;
  unsigned Running = 0;
  unsigned Waiting = 0;
  std::uint64_t Boot = 1;
  std::uint64_t Crashes = 0;
  std::uint64_t Fence = 0;
  std::uint64_t Requests = 0;
  std::map<std::string, std::uint64_t> RequestsByVersion;

  unsigned load() {
    std::lock_guard Lock(Mutex);
    return Running + Waiting;
  }
};

namespace {

using shared_state = engine_stand_in::shared_state;

/// Streams one response, a token at a time.
class engine_body : public body_source {
public:
  engine_body(std::shared_ptr<shared_state> State,
              const engine_stand_in_settings &Settings, std::string Id,
              std::string Version, const json &Body)
      : State(std::move(State)), Settings(Settings), Id(std::move(Id)),
        Version(std::move(Version)) {
    {
      std::lock_guard Lock(this->State->Mutex);
      Boot = this->State->Boot;
    }
    Prompt = Body["messages"].back().value("content", "");
    // The prompt alone determines the confidence, so a resend has the same.
    const auto Draw = fingerprintOf(Prompt) % 1000;
    Confidence = static_cast<double>(Draw) / 1000.0;
    const std::string Resumed = Body.value("resume_text", std::string());
    // Each word ends with a space: continues after the words received so far.
    Next = static_cast<std::size_t>(
        std::count(Resumed.begin(), Resumed.end(), ' '));
  }

  ~engine_body() override {
    std::lock_guard Lock(State->Mutex);
    if (HasSlot)
      --State->Running;
    State->SlotFree.notify_one();
  }

  std::optional<std::string> next() override {
    if (!HasSlot)
      takeSlot();
    if (hasCrashed() || IsCut)
      return std::nullopt;
    const auto CutAfter = State->Switches.number("cut_after", -1);
    if (CutAfter >= 0 && Sent >= static_cast<std::size_t>(CutAfter)) {
      IsCut = true;
      return std::nullopt;
    }
    if (HasFinished)
      return std::nullopt;
    waitForToken();
    if (hasCrashed())
      return std::nullopt;
    if (Next >= Settings.Tokens)
      return finish();
    ++Sent;
    return formatEvent(chunk(word(Next++), nullptr).dump());
  }

  bool isComplete() const override { return HasFinished && !IsCut; }

private:
  void takeSlot() {
    std::unique_lock Lock(State->Mutex);
    ++State->Waiting;
    State->SlotFree.wait(Lock, [&] { return State->Running < Settings.Slots; });
    --State->Waiting;
    ++State->Running;
    HasSlot = true;
  }

  bool hasCrashed() {
    std::lock_guard Lock(State->Mutex);
    return State->Boot != Boot;
  }

  void waitForToken() {
    const auto Factor = State->Switches.number("slow_factor", 1);
    milliseconds Wait = Settings.TokenTime;
    if (Sent == 0)
      Wait = milliseconds(State->Switches.number(
          "first_token_ms", Settings.FirstTokenTime.count()));
    std::this_thread::sleep_for(Wait * Factor);
    if (Sent == 0)
      std::this_thread::sleep_for(
          milliseconds(State->Switches.number("late_ms")));
  }

  std::string word(std::size_t Index) const {
    if (Index == 0)
      return "[" + Version + "] ";
    return "word" + std::to_string(Index) + " ";
  }

  json chunk(const std::string &Text, const json &Finish) const {
    const bool IsCrossed = State->Switches.number("crossed") != 0;
    return {{"id", IsCrossed ? Id + "-of-another" : Id},
            {"object", "chat.completion.chunk"},
            {"model", Version},
            {"choices",
             {{{"index", 0},
               {"delta", {{"content", Text}}},
               {"finish_reason", Finish}}}}};
  }

  std::string finish() {
    HasFinished = true;
    json Last = chunk("", "stop");
    Last["usage"] = {{"prompt_tokens", 1 + Prompt.size() / 4},
                     {"completion_tokens", Settings.Tokens}};
    Last["confidence"] = Confidence;
    std::string Text = formatEvent(Last.dump()) + formatEvent("[DONE]");
    if (State->Switches.number("twice") != 0)
      Text += formatEvent(chunk("again ", nullptr).dump()) + Text;
    return Text;
  }

  std::shared_ptr<shared_state> State;
  const engine_stand_in_settings &Settings;
  const std::string Id;
  const std::string Version;
  std::string Prompt;
  double Confidence = 1;
  std::uint64_t Boot = 0;
  std::size_t Next = 0;
  std::size_t Sent = 0;
  bool HasSlot = false;
  bool HasFinished = false;
  bool IsCut = false;
};

} // namespace

engine_stand_in::engine_stand_in(engine_stand_in_settings InitialSettings,
                                 http_transport &Transport)
    : Settings(std::move(InitialSettings)), Transport(Transport),
      State(std::make_shared<shared_state>()) {
  State->Versions = Settings.Versions;
}

served_response engine_stand_in::control(const served_request &Request) {
  if (Request.Path == "/stats") {
    std::lock_guard Lock(State->Mutex);
    return respond(200, {{"requests", State->Requests},
                         {"by_version", State->RequestsByVersion},
                         {"breakdowns", State->Crashes}});
  }
  return respond(State->Switches.set(Request.Body) ? 200 : 400, json::object());
}

served_response engine_stand_in::serve(const served_request &Request) {
  if (Request.Path == "/status")
    return status();
  if (Request.Path == "/v1/chat/completions")
    return chat(Request);
  if (Request.Path == "/orders")
    return order(Request);
  return respond(404, json::object());
}

served_response engine_stand_in::status() const {
  const unsigned Load = State->load();
  std::lock_guard Lock(State->Mutex);
  json Status = {
      {"versions", State->Versions},
      {"slots", Settings.Slots},
      {"load", Load},
      {"leaving", State->Switches.number("leaving") != 0},
      {"boot_id", Settings.Name + "-" + std::to_string(State->Boot)}};
  const auto PerSecond = State->Switches.number("requests_per_second", -1);
  if (PerSecond >= 0)
    Status["requests_per_second"] = PerSecond;
  return respond(200, Status);
}

served_response engine_stand_in::chat(const served_request &Request) {
  if (State->Switches.number("leaving") != 0) {
    served_response Response = respond(StatusUnavailable, json::object());
    Response.Headers.emplace_back("X-Leaving", "yes");
    return Response;
  }
  if (State->Switches.number("busy") != 0 ||
      State->load() >= Settings.Slots * (1 + QueueFactor))
    return respond(StatusBusy, json::object());
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("messages"))
    return respond(400, json::object());
  const std::string Version = Body.value("model", std::string());
  {
    std::lock_guard Lock(State->Mutex);
    if (!State->Versions.contains(Version))
      return respond(404, {{"error", "version not loaded"}});
    ++State->Requests;
    ++State->RequestsByVersion[Version];
  }
  served_response Response;
  Response.ContentType = "text/event-stream";
  Response.Headers.emplace_back("X-Engine-Load", std::to_string(State->load()));
  auto ResponseBody = std::make_unique<engine_body>(
      State, Settings, headerValue(Request.Headers, "X-Request-Id"), Version,
      Body);
  const std::string CrashOn = State->Switches.text("crash_on");
  if (!CrashOn.empty() && Request.Body.find(CrashOn) != std::string::npos)
    crash();
  Response.Source = std::move(ResponseBody);
  return Response;
}

/// Truncates every response in progress, including the current one, and closes
/// the listener.
void engine_stand_in::crash() {
  {
    std::lock_guard Lock(State->Mutex);
    ++State->Boot;
    ++State->Crashes;
  }
  if (OnCrash)
    OnCrash(milliseconds(State->Switches.number("down_ms", 1000)));
}

served_response engine_stand_in::order(const served_request &Request) {
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("versions"))
    return respond(400, json::object());
  const auto Fence = Body.value("fence", std::uint64_t(0));
  const auto Wanted = Body["versions"].get<std::set<std::string>>();
  {
    std::lock_guard Lock(State->Mutex);
    if (Settings.HonoursFencing && Fence < State->Fence)
      return respond(409, {{"fence", State->Fence}});
    State->Fence = std::max(State->Fence, Fence);
  }
  for (const auto &Version : Wanted) {
    if (!Settings.WeightStore)
      break;
    auto Sent = Transport.send(
        *Settings.WeightStore,
        {"GET", "/v1/weights?version=" + percentEncode(Version), {}, {}}, {},
        connection_use::Pooled);
    auto *Fetched = std::get_if<http_response>(&Sent);
    if (!Fetched || Fetched->Status != 200)
      return respond(StatusUnavailable, {{"error", "weights unavailable"}});
  }
  std::lock_guard Lock(State->Mutex);
  State->Versions = Wanted;
  return respond(200, {{"versions", Wanted}});
}

} // namespace azurehaven
