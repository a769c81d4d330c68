#include "LibRelay/archived_crash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurehaven {

namespace {

using nlohmann::json;

constexpr unsigned FormatVersion = 1;

json encode(const archived_crash &Crash) {
  json Object{{"fingerprint", Crash.Fingerprint},
              {"endpoint", Crash.Endpoint.text()},
              {"at_unix_ms", Crash.At.count()}};
  if (Crash.Cause == crash_cause::PromptSegment)
    Object["is_segment"] = true;
  if (Crash.Refutation != crash_refutation::None)
    Object["refutation"] = static_cast<unsigned>(Crash.Refutation);
  if (Crash.CoincidenceTime.count() > 0)
    Object["coincidence_ms"] = Crash.CoincidenceTime.count();
  return Object;
}

/// The field's number; the default if it is absent or no natural number.
std::uint64_t numberOf(const json &Object, const char *Name,
                       std::uint64_t Default) {
  const auto Found = Object.find(Name);
  const bool IsNumber = Found != Object.end() && Found->is_number_unsigned();
  return IsNumber ? Found->get<std::uint64_t>() : Default;
}

result<archived_crash> decode(const json &Object) {
  const bool IsCrash =
      Object.is_object() && Object.contains("fingerprint") &&
      Object["fingerprint"].is_number_unsigned() &&
      Object.contains("endpoint") && Object["endpoint"].is_string() &&
      Object.contains("at_unix_ms") && Object["at_unix_ms"].is_number_integer();
  if (!IsCrash)
    return error{error_code::InvalidInput,
                 "a crash lacks a valid 'fingerprint', 'endpoint' or "
                 "'at_unix_ms'"};
  archived_crash Crash;
  Crash.Fingerprint = Object["fingerprint"].get<std::uint64_t>();
  Crash.Endpoint = endpoint_id(Object["endpoint"].get<std::string>());
  Crash.At = unix_millis(Object["at_unix_ms"].get<std::int64_t>());
  const auto IsSegment = Object.find("is_segment");
  if (IsSegment != Object.end() && *IsSegment == true)
    Crash.Cause = crash_cause::PromptSegment;
  Crash.Refutation = static_cast<crash_refutation>(std::min<std::uint64_t>(
      numberOf(Object, "refutation", 0), MaximumCrashRefutation));
  const auto Longest =
      std::chrono::duration_cast<milliseconds>(crash_records::RetentionTime);
  Crash.CoincidenceTime = std::min(
      Longest, milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(
                   numberOf(Object, "coincidence_ms", 0),
                   static_cast<std::uint64_t>(Longest.count())))));
  return Crash;
}

} // namespace

std::string encodeArchivedCrashes(const std::vector<archived_crash> &Crashes) {
  json Records = json::array();
  for (const archived_crash &Crash : Crashes)
    Records.push_back(encode(Crash));
  const json Document{{"format", FormatVersion}, {"crashes", Records}};
  // Ids come from outside and may hold any bytes.
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<archived_crash>>
decodeArchivedCrashes(const std::string &Text) {
  const json Document = json::parse(Text, nullptr, false);
  const bool IsDocument = Document.is_object() &&
                          numberOf(Document, "format", 0) == FormatVersion &&
                          Document.contains("crashes") &&
                          Document["crashes"].is_array();
  if (!IsDocument)
    return error{error_code::InvalidInput, "no document of crashes in format " +
                                               std::to_string(FormatVersion)};
  std::vector<archived_crash> Crashes;
  for (const json &Object : Document["crashes"]) {
    TRY(auto Crash, decode(Object));
    Crashes.push_back(std::move(Crash));
  }
  return Crashes;
}

} // namespace azurehaven
