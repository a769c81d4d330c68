#include "LibDispatch/route_table.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("The longest prefix of the host's routes wins") {
  route_table::content Content;
  for (const char *Prefix : {"/a/", "/a/b/", "/c/"}) {
    route Route;
    Route.Host = "h";
    Route.PathPrefix = Prefix;
    Content.Routes.push_back(Route);
  }
  const route_table Table(std::move(Content));
  CHECK(Table.match("h", "/a/b/x")->PathPrefix == "/a/b/");
  CHECK(Table.match("h", "/a/x")->PathPrefix == "/a/");
  CHECK_FALSE(Table.match("h", "/a"));
  CHECK_FALSE(Table.match("other", "/a/x"));
}

TEST_CASE("A key maps to its account, an unknown key to none") {
  route_table::content Content;
  Content.AccountsByKey["k"] = {client_account_id("a"), std::nullopt};
  const route_table Table(std::move(Content));
  REQUIRE(Table.accountOf("k"));
  CHECK(Table.accountOf("k")->Account == client_account_id("a"));
  CHECK_FALSE(Table.accountOf("K"));
  CHECK_FALSE(Table.accountOf(""));
}
