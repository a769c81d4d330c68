#pragma once

#include "LibTypes/result.h"
#include "LibTypes/units.h"

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace azurehaven {

/// The processes of one scenario, by name. All are killed at the end.
class process_group {
public:
  explicit process_group(std::string LogFolder)
      : LogFolder(std::move(LogFolder)) {}
  ~process_group();

  status start(const std::string &Name,
               const std::vector<std::string> &Arguments);
  status signal(const std::string &Name, int Signal);
  /// The exit status; an error if it still runs after the limit.
  result<int> awaitExit(const std::string &Name, milliseconds Limit);
  bool isRunning(const std::string &Name);

private:
  const std::string LogFolder;
  std::map<std::string, pid_t> Processes;
};

} // namespace azurehaven
