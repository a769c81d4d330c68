#include "LibConfig/configuration_codec.h"
#include "LibControl/configuration_writer.h"
#include "LibStandIn/faulty_store.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

configuration_change putVersion(const char *Change, std::int64_t Price,
                                std::uint64_t Base = 0) {
  configuration_change Wanted;
  Wanted.Id = change_id(Change);
  Wanted.Actor = Change;
  Wanted.Kind = "put_version";
  Wanted.Body = {{"id", "ridge@1"}, {"completion_price", Price}};
  Wanted.BaseVersion = Base;
  return Wanted;
}

} // namespace

TEST_CASE("a change is applied, recorded and audited") {
  faulty_store Store;
  configuration_writer Writer(Store);
  auto Written = Writer.submit(putVersion("first", 7), unix_millis(5));
  REQUIRE_FALSE(isError(Written));
  CHECK(valueOf(Written).Version == 1);
  auto Audit = Store.Inner.list(store_purpose::Audit, AuditPrefix, 0);
  REQUIRE(valueOf(Audit).size() == 1);
  CHECK(valueOf(Audit)[0].Value.find("\"actor\":\"first\"") !=
        std::string::npos);
}

TEST_CASE("a write whose response was lost is resolved by reading back") {
  faulty_store Store;
  // Call 1 reads the configuration, call 2 writes it.
  Store.FaultOf = [](unsigned Call) {
    return Call == 2 ? store_fault::ResponseLost : store_fault::None;
  };
  configuration_writer Writer(Store);
  auto Written = Writer.submit(putVersion("first", 7), unix_millis(5));
  REQUIRE_FALSE(isError(Written));
  CHECK(valueOf(Written).Version == 1);
  CHECK(valueOf(Writer.read()).Version == 1);
}

TEST_CASE("a repeated change id takes effect once") {
  faulty_store Store;
  configuration_writer Writer(Store);
  (void)Writer.submit(putVersion("first", 7), unix_millis(5));
  auto Again = Writer.submit(putVersion("first", 7), unix_millis(6));
  REQUIRE_FALSE(isError(Again));
  CHECK(valueOf(Writer.read()).Version == 1);
}

TEST_CASE("an unavailable store is reported and nothing changes") {
  faulty_store Store;
  Store.FaultOf = [](unsigned) { return store_fault::Unavailable; };
  configuration_writer Writer(Store);
  auto Written = Writer.submit(putVersion("first", 7), unix_millis(5));
  REQUIRE(isError(Written));
  CHECK(errorOf(Written).Code == error_code::Unavailable);
}

TEST_CASE("a write that can't be read back has an unknown outcome") {
  faulty_store Store;
  Store.FaultOf = [](unsigned Call) {
    if (Call == 1)
      return store_fault::None;
    return Call == 2 ? store_fault::ResponseLost : store_fault::Unavailable;
  };
  configuration_writer Writer(Store);
  auto Written = Writer.submit(putVersion("first", 7), unix_millis(5));
  REQUIRE(isError(Written));
  CHECK(errorOf(Written).Code == error_code::OutcomeUnknown);
}

TEST_CASE("of two concurrent changes one wins and the other names the winner") {
  faulty_store Store;
  configuration_writer Writer(Store);
  (void)Writer.submit(putVersion("base", 1), unix_millis(1));
  bool HasRaced = false;
  Store.BeforeWrite = [&](const std::string &Key) {
    if (Key != ConfigurationKey || HasRaced)
      return;
    HasRaced = true;
    (void)Writer.submit(putVersion("eleni", 2, 1), unix_millis(2));
  };
  auto Lost = Writer.submit(putVersion("rhys", 3, 1), unix_millis(3));
  REQUIRE(isError(Lost));
  CHECK(errorOf(Lost).Code == error_code::Conflict);
  CHECK(errorOf(Lost).Message.find("eleni") != std::string::npos);
  const auto Final = valueOf(Writer.read());
  CHECK(Final.Version == 2);
  CHECK(Final.Versions.at(version_id("ridge@1")).CompletionPrice ==
        micro_euros(2));
}
