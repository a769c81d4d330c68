#include "LibClient/ask_command.h"
#include "LibClient/command_line.h"
#include "LibClient/ctl_command.h"
#include "LibEntry/entry_node.h"
#include "platform/platform_command.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace azurehaven;

namespace {

constexpr const char *Usage = R"(A model-aware router for versions and cascades.

Usage:
  azurehaven entry [options]    Serve callers on one entry VM
  azurehaven platform-entry     Serve callers on one VM of the users' platform
  azurehaven ctl COMMAND        Operate the system through targets
  azurehaven ask TEXT           Ask the system as a caller does

Each has a --help of its own.
)";

/// Blocks SIGTERM and SIGINT, which request a graceful shutdown, in every
/// thread and returns them for the main thread to wait for. Ignores SIGPIPE.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

int runEntry(const std::vector<std::string> &Arguments) {
  command_line Line;
  if (auto Status = Line.parse(EntryUsage, "entry", Arguments))
    return *Status;
  std::vector<std::string> Errors;
  entry_settings Settings = readEntrySettings(
      [&](const std::string &Flag) { return Line.text(Flag); },
      [](const std::string &Variable) -> std::optional<std::string> {
        const char *Value = std::getenv(Variable.c_str());
        return Value ? std::optional<std::string>(Value) : std::nullopt;
      },
      Errors);
  if (!Errors.empty()) {
    for (const auto &Error : Errors)
      std::cerr << "azurehaven entry: " << Error << "\n";
    return ExitUsage;
  }
  if (Line.flag("--check")) {
    std::cout << "The settings are valid.\n";
    return ExitSuccess;
  }
  const sigset_t Signals = blockStopSignals();
  auto Node = entry_node::start(std::move(Settings));
  if (isError(Node)) {
    std::cerr << "azurehaven entry: " << errorOf(Node).Message << "\n";
    return ExitFailure;
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  valueOf(Node)->drain();
  return ExitSuccess;
}

} // namespace

int main(int Count, char **Values) {
  const std::vector<std::string> All(Values + 1, Values + Count);
  const std::string Command = All.empty() ? "" : All.front();
  const std::vector<std::string> Rest(All.begin() + (All.empty() ? 0 : 1),
                                      All.end());
  if (Command == "entry")
    return runEntry(Rest);
  if (Command == "platform-entry")
    return platform::runPlatformEntry(Rest);
  if (Command == "ctl")
    return runCtlCommand(Rest);
  if (Command == "ask")
    return runAskCommand(Rest);
  const bool IsHelp = Command == "-h" || Command == "--help";
  (IsHelp ? std::cout : std::cerr) << Usage;
  return IsHelp ? ExitSuccess : ExitUsage;
}
