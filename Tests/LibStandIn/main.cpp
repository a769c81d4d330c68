#include "LibClient/command_line.h"
#include "LibHttp/pooled_http_transport.h"
#include "LibStandIn/engine_stand_in.h"
#include "LibStandIn/link_stand_in.h"
#include "LibStandIn/platform_stand_ins.h"
#include "LibStandIn/rating_stand_in.h"
#include "LibStandIn/service_stand_in.h"
#include "LibStandIn/store_stand_in.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace azurehaven;

namespace {

constexpr const char *Usage = R"(Stand-ins of the platform, for tests only.

Usage:
  azurehaven-standin store --listen=IP:PORT
  azurehaven-standin engine --listen=IP:PORT --control=IP:PORT --name=NAME
                     --versions=LIST [options]
  azurehaven-standin service --listen=IP:PORT --control=IP:PORT --name=NAME
  azurehaven-standin rating --listen=IP:PORT
  azurehaven-standin weights --listen=IP:PORT
  azurehaven-standin vms --listen=IP:PORT --file=FILE
  azurehaven-standin links --control=IP:PORT
  azurehaven-standin (-h | --help)

Options:
  --slots=N           Requests that an engine runs at a time [default: 8]
  --token-ms=MS       Time of one token [default: 5]
  --first-token-ms=MS Time to the first token [default: 20]
  --tokens=N          Tokens of an answer [default: 24]
  --weights=IP:PORT   The weight store that an engine loads from
  --ignores-fencing   The engine obeys orders with an old fencing number
)";

/// Runs the one stand-in that the command line selects, with its listeners.
class stand_in_process {
public:
  explicit stand_in_process(const command_line &Line) : Line(Line) {}

  bool start() {
    if (Line.flag("store"))
      return listen("--listen", [this](const served_request &Request) {
        return Store.serve(Request);
      });
    if (Line.flag("engine"))
      return startEngine();
    if (Line.flag("service")) {
      Service = std::make_unique<service_stand_in>(*Line.text("--name"));
      return listen("--listen",
                    [this](const served_request &Request) {
                      return Service->serve(Request);
                    }) &&
             listen("--control", [this](const served_request &Request) {
               return Service->control(Request);
             });
    }
    if (Line.flag("rating"))
      return listen("--listen", [this](const served_request &Request) {
        return Rating.serve(Request);
      });
    if (Line.flag("weights"))
      return listen("--listen", [this](const served_request &Request) {
        return Weights.serve(Request, std::chrono::steady_clock::now());
      });
    if (Line.flag("vms")) {
      std::ifstream File(*Line.text("--file"));
      List = std::make_unique<vm_list_stand_in>(
          nlohmann::json::parse(File, nullptr, false));
      return listen("--listen", [this](const served_request &Request) {
        return List->serve(Request);
      });
    }
    return listen("--control", [this](const served_request &Request) {
      return Links.control(Request);
    });
  }

  /// Closes the first listener on each crash and reopens it after the downtime.
  /// Never returns; stand-ins other than an engine just wait here.
  void simulateCrashes() {
    std::unique_lock Lock(CrashMutex);
    while (true) {
      HasCrashed.wait(Lock, [this] { return PendingDowntime.has_value(); });
      const milliseconds Downtime = *PendingDowntime;
      Lock.unlock();
      Servers.front().reset();
      std::this_thread::sleep_for(Downtime);
      while (!reopenFirst())
        std::this_thread::sleep_for(milliseconds(10));
      Lock.lock();
      PendingDowntime.reset();
    }
  }

private:
  bool listen(const char *Flag, http_handler Handler) {
    auto Address = parseNetworkAddress(*Line.text(Flag));
    if (isError(Address)) {
      std::cerr << Flag << ": " << errorOf(Address).Message << "\n";
      return false;
    }
    http_server_limits Limits;
    Limits.Connections = 4000;
    Limits.Workers = 4000;
    Limits.BodyBytes = 8 << 20;
    auto Server = http_server::listen(valueOf(Address), Limits, Handler);
    if (isError(Server)) {
      std::cerr << errorOf(Server).Message << "\n";
      return false;
    }
    if (Servers.empty())
      Reopen = {valueOf(Address), Handler};
    Servers.push_back(std::move(valueOf(Server)));
    return true;
  }

  bool reopenFirst() {
    http_server_limits Limits;
    Limits.Connections = 4000;
    Limits.Workers = 4000;
    auto Server = http_server::listen(Reopen.first, Limits, Reopen.second);
    if (isError(Server))
      return false;
    Servers.front() = std::move(valueOf(Server));
    return true;
  }

  bool startEngine() {
    engine_stand_in_settings Settings;
    Settings.Name = *Line.text("--name");
    std::stringstream Versions(*Line.text("--versions"));
    std::string Version;
    while (std::getline(Versions, Version, ','))
      Settings.Versions.insert(Version);
    Settings.Slots = static_cast<unsigned>(number("--slots"));
    Settings.TokenTime = milliseconds(number("--token-ms"));
    Settings.FirstTokenTime = milliseconds(number("--first-token-ms"));
    Settings.Tokens = static_cast<std::size_t>(number("--tokens"));
    Settings.HonoursFencing = !Line.flag("--ignores-fencing");
    if (auto Store = Line.text("--weights"))
      if (auto Address = parseNetworkAddress(*Store); !isError(Address))
        Settings.WeightStore = valueOf(Address);
    Engine = std::make_unique<engine_stand_in>(std::move(Settings), Transport);
    Engine->OnCrash = [this](milliseconds Downtime) {
      std::lock_guard Lock(CrashMutex);
      PendingDowntime = Downtime;
      HasCrashed.notify_one();
    };
    return listen("--listen",
                  [this](const served_request &Request) {
                    return Engine->serve(Request);
                  }) &&
           listen("--control", [this](const served_request &Request) {
             return Engine->control(Request);
           });
  }

  std::int64_t number(const char *Flag) const {
    auto Number = Line.integer(Flag, 0, 1000000);
    return isError(Number) ? 0 : valueOf(Number);
  }

  const command_line &Line;
  pooled_http_transport Transport;
  store_stand_in Store;
  rating_stand_in Rating;
  weight_store_stand_in Weights{2};
  link_stand_in Links;
  std::unique_ptr<engine_stand_in> Engine;
  std::unique_ptr<service_stand_in> Service;
  std::unique_ptr<vm_list_stand_in> List;
  std::mutex CrashMutex;
  std::condition_variable HasCrashed;
  std::optional<milliseconds> PendingDowntime;
  std::pair<network_address, http_handler> Reopen;
  std::vector<std::unique_ptr<http_server>> Servers;
};

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  command_line Line;
  if (Count < 2) {
    std::cerr << Usage;
    return ExitUsage;
  }
  const std::vector<std::string> Arguments(Values + 2, Values + Count);
  if (auto Status = Line.parse(Usage, Values[1], Arguments))
    return *Status;
  stand_in_process Process(Line);
  if (!Process.start())
    return ExitFailure;
  Process.simulateCrashes();
}
