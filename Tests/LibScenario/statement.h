#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

/// One line of a scenario: a verb, words, and options written name=value.
struct statement {
  std::size_t Line = 0;
  std::string Verb;
  std::vector<std::string> Words;
  std::map<std::string, std::string> Options;

  std::string option(const std::string &Name,
                     const std::string &Default = {}) const;
};

} // namespace azurehaven
