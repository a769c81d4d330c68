#include "LibConfig/configuration_change.h"
#include "LibConfig/configuration_codec.h"

#include <doctest/doctest.h>

using namespace azurehaven;
using nlohmann::json;

namespace {

configuration_change changeOf(const char *Kind, json Body) {
  return {change_id("change"), "eleni", Kind, std::move(Body), 0};
}

configuration mustApply(const configuration &Current,
                        const configuration_change &Change) {
  auto Applied = applyChange(Current, Change, unix_millis(1));
  REQUIRE_FALSE(isError(Applied));
  return valueOf(Applied);
}

std::string errorMessageOf(const configuration_change &Change) {
  auto Applied = applyChange({}, Change, unix_millis(1));
  REQUIRE(isError(Applied));
  CHECK(errorOf(Applied).Code == error_code::InvalidInput);
  return errorOf(Applied).Message;
}

} // namespace

TEST_CASE("every error of a change names field, value and range") {
  const std::string Error =
      errorMessageOf(changeOf("put_class", {{"id", "survey"},
                                            {"quality_target", 1.5},
                                            {"priority", 12},
                                            {"weight_of_endpoint", 3}}));
  CHECK(Error.find("class.quality_target: 1.5") != std::string::npos);
  CHECK(Error.find("class.priority: 12") != std::string::npos);
  CHECK(Error.find("class.weight_of_endpoint: unknown") != std::string::npos);
}

TEST_CASE("a batch is applied as a whole or not at all") {
  json Batch = json::array(
      {{{"kind", "put_version"}, {"body", {{"id", "ridge@1"}}}},
       {{"kind", "put_account"},
        {"body", {{"id", "a"}, {"key", "k"}, {"models", {"unknown"}}}}}});
  auto Applied = applyChange({}, changeOf("batch", Batch), unix_millis(1));
  REQUIRE(isError(Applied));
  CHECK(errorOf(Applied).Message.find("unknown") != std::string::npos);
}

TEST_CASE("a batch may not contain a roster change") {
  json Batch =
      json::array({{{"kind", "add_to_roster"}, {"body", {{"vm", "entry-1"}}}}});
  CHECK(errorMessageOf(changeOf("batch", Batch))
            .find("must be submitted as a change of its own") !=
        std::string::npos);
}

TEST_CASE("accounts may use only allowed versions that are not withdrawn") {
  configuration Current;
  for (const char *Id : {"ridge@1", "ridge@2", "summit@1"})
    Current = mustApply(Current, changeOf("put_version", {{"id", Id}}));
  Current = mustApply(
      Current, changeOf("put_account",
                        {{"id", "a"}, {"key", "k"}, {"models", {"ridge"}}}));
  const client_account &Account = Current.Accounts.at(client_account_id("a"));
  CHECK(Current.permits(Account, version_id("ridge@1")));
  CHECK_FALSE(Current.permits(Account, version_id("summit@1")));
  CHECK_FALSE(Current.permits(Account, version_id("unknown@1")));
  Current =
      mustApply(Current, changeOf("set_version_state",
                                  {{"id", "ridge@1"}, {"state", "withdrawn"}}));
  CHECK_FALSE(Current.permits(Account, version_id("ridge@1")));
  CHECK(Current.permits(Account, version_id("ridge@2")));
}

TEST_CASE("a configuration is decoded as it was encoded") {
  configuration Current =
      mustApply({}, changeOf("put_version",
                             {{"id", "ridge@1"}, {"completion_price", 240}}));
  Current = mustApply(Current, changeOf("put_class", {{"id", "survey"},
                                                      {"quality_target", 0.9},
                                                      {"first_token_ms", 10},
                                                      {"deadline_ms", 100}}));
  Current = mustApply(
      Current, changeOf("put_service", {{"id", "booking"}, {"call_price", 5}}));
  auto Decoded = decodeConfiguration(encodeConfiguration(Current).dump());
  REQUIRE_FALSE(isError(Decoded));
  CHECK(encodeConfiguration(valueOf(Decoded)) == encodeConfiguration(Current));
}

TEST_CASE("a version in an unknown state is not served") {
  json Document = encodeConfiguration(
      mustApply({}, changeOf("put_version", {{"id", "ridge@1"}})));
  Document["versions"][0]["state"] = "half-active";
  auto Decoded = decodeConfiguration(Document.dump());
  REQUIRE_FALSE(isError(Decoded));
  CHECK(valueOf(Decoded).Versions.at(version_id("ridge@1")).State ==
        version_state::Withdrawn);
}
