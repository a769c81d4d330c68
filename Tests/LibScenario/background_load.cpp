#include "LibScenario/background_load.h"

namespace azurehaven {

namespace {

/// How long a discovery response may be cached; equals the --discovery-keep-ms
/// setting of the entry processes.
constexpr milliseconds DiscoveryKeep{1000};
constexpr milliseconds RetryDelay{50};
/// Response timeout, above any pause in a response except that of a frozen VM.
constexpr milliseconds ResponseTimeout{10000};

} // namespace

background_load::background_load(http_transport &Transport,
                                 std::vector<network_address> FirstEntries)
    : Transport(Transport), FirstEntries(std::move(FirstEntries)) {}

background_load::~background_load() { (void)stop(); }

void background_load::start(std::size_t CallerCount, const std::string &Class) {
  IsStopping = false;
  for (std::size_t Number = 0; Number < CallerCount; ++Number)
    Callers.emplace_back([this, Number, Class] { callerLoop(Number, Class); });
}

std::vector<caller_response> background_load::stop() {
  IsStopping = true;
  for (auto &Caller : Callers)
    Caller.join();
  Callers.clear();
  std::lock_guard Lock(Mutex);
  return Responses;
}

void background_load::callerLoop(std::size_t Number, std::string Class) {
  caller_client Client(Transport, ResponseTimeout);
  std::vector<entry_vm> Known;
  steady_time KnownSince{};
  for (std::size_t Turn = 0; !IsStopping; ++Turn) {
    const auto Now = std::chrono::steady_clock::now();
    if (Known.empty() || Now - KnownSince > DiscoveryKeep) {
      auto Found =
          Client.discover(FirstEntries[(Number + Turn) % FirstEntries.size()]);
      if (isError(Found) || valueOf(Found).empty()) {
        std::this_thread::sleep_for(RetryDelay);
        continue;
      }
      Known = valueOf(Found);
      KnownSince = Now;
    }
    caller_request ChatRequest;
    ChatRequest.Key = "pindos-key";
    ChatRequest.Class = Class;
    ChatRequest.RequestId =
        "load-" + std::to_string(Number) + "-" + std::to_string(Turn);
    ChatRequest.Text = "question " + ChatRequest.RequestId;
    caller_response Response =
        Client.sendChat(Known[Number % Known.size()].Address, ChatRequest);
    Response.RequestId = ChatRequest.RequestId;
    const bool IsIncomplete = !Response.IsComplete;
    {
      std::lock_guard Lock(Mutex);
      Responses.push_back(std::move(Response));
    }
    ++Count;
    if (IsIncomplete) {
      Known.clear();
      std::this_thread::sleep_for(RetryDelay);
    }
  }
}

} // namespace azurehaven
