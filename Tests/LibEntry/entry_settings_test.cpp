#include "LibEntry/entry_settings.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

using texts = std::map<std::string, std::string>;

entry_settings readFrom(const texts &Flags, const texts &Environment,
                        std::vector<std::string> &Errors) {
  const auto Lookup = [](const texts &Texts) {
    return [&Texts](const std::string &Name) -> std::optional<std::string> {
      auto Found = Texts.find(Name);
      return Found == Texts.end() ? std::nullopt : std::optional(Found->second);
    };
  };
  return readEntrySettings(Lookup(Flags), Lookup(Environment), Errors);
}

const texts Complete = {{"--vm", "entry-1"},
                        {"--domain", "a"},
                        {"--listen", "127.0.0.1:1"},
                        {"--operator-listen", "127.0.0.1:2"},
                        {"--peer-listen", "127.0.0.1:3"},
                        {"--store", "127.0.0.1:4"},
                        {"--vm-list", "127.0.0.1:5"}};

} // namespace

TEST_CASE("a flag takes precedence over its environment variable") {
  std::vector<std::string> Errors;
  const auto Settings = readFrom(
      Complete,
      {{"AZUREHAVEN_VM", "other"}, {"AZUREHAVEN_MAXIMUM_STREAMS", "77"}},
      Errors);
  CHECK(Errors.empty());
  CHECK(Settings.Vm == vm_id("entry-1"));
  CHECK(Settings.MaximumStreams == 77);
}

TEST_CASE("all validation errors are listed together, with flag, variable and "
          "range") {
  std::vector<std::string> Errors;
  texts Flags = Complete;
  Flags["--vm"] = "a b";
  Flags["--store"] = "store.example:1";
  Flags["--body-limit"] = "1MB";
  Flags["--log-level"] = "loud";
  Flags.erase("--listen");
  (void)readFrom(Flags, {}, Errors);
  REQUIRE(Errors.size() == 5);
  CHECK(Errors[1].find("--listen (AZUREHAVEN_LISTEN): missing") !=
        std::string::npos);
  CHECK(Errors[3].find("\"1MB\"; accepted: a whole number, 1024 to") !=
        std::string::npos);
}
