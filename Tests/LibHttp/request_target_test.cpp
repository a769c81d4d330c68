#include "LibHttp/request_target.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("A target is split and decoded") {
  const request_target Target = parseTarget("/a%2Fb+c/d?key=x%20y+z&flag&=1");
  CHECK(Target.Path == "/a/b+c/d");
  CHECK(Target.Query.at("key") == "x y z");
  CHECK(Target.Query.at("flag").empty());
}

TEST_CASE("Invalid percent-encoding is kept as sent") {
  CHECK(parseTarget("/a%").Path == "/a%");
  CHECK(parseTarget("/a%4").Path == "/a%4");
  CHECK(parseTarget("/a%zz").Path == "/a%zz");
  CHECK(parseTarget("/%41").Path == "/A");
}

TEST_CASE("Empty query parameters are skipped") {
  CHECK(parseTarget("/?").Query.empty());
  CHECK(parseTarget("/?&&").Query.empty());
  CHECK(parseTarget("").Path.empty());
}
