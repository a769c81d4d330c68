#include "LibScenario/process_group.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace azurehaven {

process_group::~process_group() {
  for (const auto &[Name, Process] : Processes) {
    ::kill(Process, SIGKILL);
    int Status = 0;
    ::waitpid(Process, &Status, 0);
  }
}

status process_group::start(const std::string &Name,
                            const std::vector<std::string> &Arguments) {
  if (Processes.contains(Name))
    return error{error_code::InvalidInput, Name + " is already running"};
  std::vector<char *> Values;
  for (const auto &Argument : Arguments)
    Values.push_back(const_cast<char *>(Argument.c_str()));
  Values.push_back(nullptr);
  const std::string Log = LogFolder + "/" + Name + ".log";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDERR_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDERR_FILENO, STDOUT_FILENO);
  // A connection that this program closes would stay open while a process has
  // inherited it.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  pid_t Process = 0;
  const int Code = ::posix_spawn(&Process, Values.front(), &Actions, nullptr,
                                 Values.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Code != 0)
    return error{error_code::Internal, "cannot start " + Arguments.front()};
  Processes[Name] = Process;
  return success{};
}

status process_group::signal(const std::string &Name, int Signal) {
  auto Found = Processes.find(Name);
  if (Found == Processes.end())
    return error{error_code::NotFound, Name + " does not run"};
  ::kill(Found->second, Signal);
  if (Signal != SIGKILL)
    return success{};
  int Status = 0;
  ::waitpid(Found->second, &Status, 0);
  Processes.erase(Found);
  return success{};
}

result<int> process_group::awaitExit(const std::string &Name,
                                     milliseconds Limit) {
  auto Found = Processes.find(Name);
  if (Found == Processes.end())
    return error{error_code::NotFound, Name + " does not run"};
  const auto GiveUpAt = std::chrono::steady_clock::now() + Limit;
  while (std::chrono::steady_clock::now() < GiveUpAt) {
    int Status = 0;
    if (::waitpid(Found->second, &Status, WNOHANG) == Found->second) {
      Processes.erase(Found);
      return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return error{error_code::Unavailable, Name + " still runs"};
}

std::vector<std::string> process_group::describeEnded() const {
  std::vector<std::string> Ended;
  for (const auto &[Name, Process] : Processes) {
    siginfo_t State{};
    // WNOWAIT leaves the process to the destructor.
    const int Code = ::waitid(P_PID, static_cast<id_t>(Process), &State,
                              WEXITED | WNOHANG | WNOWAIT);
    if (Code != 0 || State.si_pid == 0)
      continue;
    const char *How =
        State.si_code == CLD_EXITED ? "with status " : "by signal ";
    Ended.push_back(Name + " ended " + How + std::to_string(State.si_status));
  }
  return Ended;
}

bool process_group::isRunning(const std::string &Name) {
  return Processes.contains(Name);
}

} // namespace azurehaven
