#include "LibTypes/utf8.h"

#include "LibLog/event_log.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("Valid UTF-8 is left as it is") {
  for (const char *Text :
       {"", "abc", "a\\b", "caf\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80"})
    CHECK(escapeInvalidUtf8(Text) == Text);
}

TEST_CASE("Bytes that are no UTF-8 are escaped, and different texts stay "
          "different") {
  CHECK(escapeInvalidUtf8("caf\xe9") == "caf\\xe9");
  CHECK(escapeInvalidUtf8("\xe2"
                          "A") == "\\xe2A");
  CHECK(escapeInvalidUtf8("\xe2\x82") == "\\xe2\\x82");
  CHECK(escapeInvalidUtf8("\xc0\xaf") == "\\xc0\\xaf");
  CHECK(escapeInvalidUtf8("\xed\xa0\x80") == "\\xed\\xa0\\x80");
  CHECK(escapeInvalidUtf8("\xf5\x80\x80\x80") == "\\xf5\\x80\\x80\\x80");
  CHECK(escapeInvalidUtf8("\\xe9\xe9") == "\\\\xe9\\xe9");
}

TEST_CASE("A log line shows bytes of a caller that are no UTF-8") {
  CHECK(formatFields("vm-1", "e", {{"request", "caf\xe9"}}) ==
        R"("vm":"vm-1","event":"e","request":"caf\\xe9")");
}
