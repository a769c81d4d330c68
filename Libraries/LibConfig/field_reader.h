#pragma once

#include "LibTypes/units.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurehaven {

/// Reads the fields of one JSON object and collects all errors. Each error
/// names the field, its value and the accepted values. A missing optional field
/// leaves the target unchanged.
class field_reader {
public:
  field_reader(const nlohmann::json &Object, std::string Prefix,
               std::vector<std::string> &Errors);

  /// Reads a required string of 1 to 200 printable characters.
  std::string text(const std::string &Name);
  std::optional<std::string> optionalText(const std::string &Name);
  std::optional<std::vector<std::string>>
  optionalTexts(const std::string &Name);
  void number(const std::string &Name, double &Target, double Low, double High);
  void integer(const std::string &Name, std::int64_t &Target, std::int64_t Low,
               std::int64_t High);
  void duration(const std::string &Name, milliseconds &Target, milliseconds Low,
                milliseconds High);
  void boolean(const std::string &Name, bool &Target);
  /// Adds an error for each field that was not read; must be called last.
  void rejectUnknownFields();

private:
  const nlohmann::json *find(const std::string &Name);
  void addError(const std::string &Name, const std::string &Value,
                const std::string &Accepted);

  const nlohmann::json &Object;
  std::string Prefix;
  std::vector<std::string> &Errors;
  std::set<std::string> ReadFields;
};

} // namespace azurehaven
