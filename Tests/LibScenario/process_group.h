#pragma once

#include "LibTypes/result.h"
#include "LibTypes/units.h"

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace azurehaven {

/// The child processes of one scenario or soak run, by name. The destructor
/// kills those still running.
class process_group {
public:
  explicit process_group(std::string LogFolder)
      : LogFolder(std::move(LogFolder)) {}
  ~process_group();

  status start(const std::string &Name,
               const std::vector<std::string> &Arguments);
  /// SIGKILL also waits for the exit and forgets the process.
  status signal(const std::string &Name, int Signal);
  /// Returns the exit status, -1 if a signal ended the process, or an error if
  /// it still runs after the limit.
  result<int> awaitExit(const std::string &Name, milliseconds Limit);
  /// Whether the process was started and neither killed by signal() nor seen to
  /// exit by awaitExit(). True for a frozen or crashed process.
  bool isRunning(const std::string &Name);
  /// Describes how each process ended that has ended by itself or by a signal
  /// from elsewhere.
  std::vector<std::string> describeEnded() const;

private:
  const std::string LogFolder;
  std::map<std::string, pid_t> Processes;
};

} // namespace azurehaven
