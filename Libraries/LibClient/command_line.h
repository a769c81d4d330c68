#pragma once

#include "LibTypes/result.h"

#include <docopt/docopt.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

/// Arguments of one command, parsed by docopt from its usage text.
class command_line {
public:
  /// Returns an exit status if the command must end at once: after printing
  /// the help, or when the arguments don't match the usage.
  std::optional<int> parse(const char *Usage, const std::string &Command,
                           const std::vector<std::string> &Arguments);

  /// Returns the value of the option or argument, or else of the environment
  /// variable.
  std::optional<std::string> text(const std::string &Name,
                                  const char *Variable = nullptr) const;
  bool flag(const std::string &Name) const;
  result<std::int64_t> integer(const std::string &Name, std::int64_t Low,
                               std::int64_t High) const;

private:
  std::map<std::string, docopt::value> Values;
};

} // namespace azurehaven
