#include "LibConfig/field_reader.h"

#include <algorithm>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr std::size_t TextLimitBytes = 200;

bool isAcceptableText(const json &Value) {
  if (!Value.is_string())
    return false;
  const auto &Text = Value.get_ref<const std::string &>();
  return !Text.empty() && Text.size() <= TextLimitBytes &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return static_cast<unsigned char>(Character) >= 0x20;
         });
}

std::string dumpValue(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string rangeOf(const std::string &Low, const std::string &High) {
  return Low + " to " + High;
}

} // namespace

field_reader::field_reader(const json &Object, std::string Prefix,
                           std::vector<std::string> &Errors)
    : Object(Object), Prefix(std::move(Prefix)), Errors(Errors) {}

const json *field_reader::find(const std::string &Name) {
  ReadFields.insert(Name);
  if (!Object.is_object())
    return nullptr;
  auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

void field_reader::addError(const std::string &Name, const std::string &Value,
                            const std::string &Accepted) {
  Errors.push_back(Prefix + "." + Name + ": " + Value +
                   "; accepted: " + Accepted);
}

std::string field_reader::text(const std::string &Name) {
  const json *Value = find(Name);
  if (Value && isAcceptableText(*Value))
    return Value->get<std::string>();
  addError(Name, Value ? dumpValue(*Value) : "missing",
           "a text of 1 to 200 printable characters");
  return {};
}

std::optional<std::string> field_reader::optionalText(const std::string &Name) {
  if (!find(Name))
    return std::nullopt;
  return text(Name);
}

std::optional<std::vector<std::string>>
field_reader::optionalTexts(const std::string &Name) {
  const json *Value = find(Name);
  if (!Value)
    return std::nullopt;
  std::vector<std::string> Texts;
  bool IsValid = Value->is_array();
  if (IsValid)
    for (const auto &Item : *Value) {
      if (!isAcceptableText(Item)) {
        IsValid = false;
        break;
      }
      Texts.push_back(Item.get<std::string>());
    }
  if (!IsValid)
    addError(Name, dumpValue(*Value), "an array of texts");
  return Texts;
}

void field_reader::number(const std::string &Name, double &Target, double Low,
                          double High) {
  const json *Value = find(Name);
  if (!Value)
    return;
  if (Value->is_number() && Value->get<double>() >= Low &&
      Value->get<double>() <= High) {
    Target = Value->get<double>();
    return;
  }
  addError(Name, dumpValue(*Value),
           rangeOf(std::to_string(Low), std::to_string(High)));
}

void field_reader::integer(const std::string &Name, std::int64_t &Target,
                           std::int64_t Low, std::int64_t High) {
  const json *Value = find(Name);
  if (!Value)
    return;
  if (Value->is_number_integer() && Value->get<std::int64_t>() >= Low &&
      Value->get<std::int64_t>() <= High) {
    Target = Value->get<std::int64_t>();
    return;
  }
  addError(Name, dumpValue(*Value),
           "a whole number, " +
               rangeOf(std::to_string(Low), std::to_string(High)));
}

void field_reader::duration(const std::string &Name, milliseconds &Target,
                            milliseconds Low, milliseconds High) {
  std::int64_t Count = Target.count();
  integer(Name, Count, Low.count(), High.count());
  Target = milliseconds(Count);
}

void field_reader::boolean(const std::string &Name, bool &Target) {
  const json *Value = find(Name);
  if (!Value)
    return;
  if (Value->is_boolean()) {
    Target = Value->get<bool>();
    return;
  }
  addError(Name, dumpValue(*Value), "true or false");
}

void field_reader::rejectUnknownFields() {
  if (!Object.is_object())
    return;
  for (const auto &[Name, Value] : Object.items())
    if (!ReadFields.contains(Name))
      addError(Name, "unknown field", "only the documented fields");
}

} // namespace azurehaven
