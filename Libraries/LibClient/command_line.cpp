#include "LibClient/command_line.h"

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace azurehaven {

std::optional<int>
command_line::parse(const char *Usage, const std::string &Command,
                    const std::vector<std::string> &Arguments) {
  std::vector<std::string> All = {Command};
  All.insert(All.end(), Arguments.begin(), Arguments.end());
  try {
    Values = docopt::docopt_parse(Usage, All, true, false);
    return std::nullopt;
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return ExitSuccess;
  } catch (const docopt::DocoptArgumentError &Error) {
    std::cerr << "azurehaven " << Command << ": " << Error.what()
              << "\nSee azurehaven " << Command << " --help.\n";
    return ExitUsage;
  }
}

std::optional<std::string> command_line::text(const std::string &Name,
                                              const char *Variable) const {
  auto Found = Values.find(Name);
  if (Found != Values.end() && Found->second.isString())
    return Found->second.asString();
  const char *Value = Variable ? std::getenv(Variable) : nullptr;
  if (Value)
    return std::string(Value);
  return std::nullopt;
}

bool command_line::flag(const std::string &Name) const {
  auto Found = Values.find(Name);
  return Found != Values.end() && Found->second.isBool() &&
         Found->second.asBool();
}

result<std::int64_t> command_line::integer(const std::string &Name,
                                           std::int64_t Low,
                                           std::int64_t High) const {
  const std::string Text = text(Name).value_or("");
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Number);
  if (Code == std::errc() && Stop == End && Number >= Low && Number <= High)
    return Number;
  return error{error_code::InvalidInput,
               Name + ": \"" + Text + "\"; accepted: a whole number, " +
                   std::to_string(Low) + " to " + std::to_string(High)};
}

} // namespace azurehaven
