#include "LibFleet/member_entry.h"
#include "platform/configuration_document.h"
#include "platform/endpoint_document.h"
#include "platform/http_engine_inspector.h"
#include "platform/rollout_documents.h"

#include <doctest/doctest.h>

using namespace azurehaven;
using namespace azurehaven::platform;

namespace {

std::string repeated(const std::string &Part, std::size_t Count) {
  std::string Text;
  Text.reserve(Part.size() * Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Text += Part;
  return Text;
}

/// Values that another writer, or a faulty endpoint, may leave in any field.
std::vector<std::string> oddValues() {
  return {"null",
          "true",
          "-1",
          "0",
          "1e400",
          "-1e400",
          "1e15",
          "18446744073709551616",
          "9223372036854775808",
          "-9223372036854775809",
          "\"\\ud800\"",
          "\"\xff\xfe\"",
          "\"10.0.0.1:65536\"",
          "\"10.0.0.1:-1\"",
          "\"10.0.0.1:99999999999999999999\"",
          "\"999.0.0.1:80\"",
          "\":\"",
          "[]",
          "{}",
          "[[[[1,2]]]]",
          repeated("[", 1000000),
          repeated("[", 1000) + repeated("]", 1000),
          repeated("{\"a\":", 200000),
          "[[null,1,2],[\"r\",1,-3],[\"r\",1,1e300]]"};
}

constexpr const char *Fields[] = {
    "service", "address",  "zone",    "version",    "state",       "slots",
    "born",    "call_seq", "running", "queued",     "kv_used",     "runs",
    "routes",  "services", "tenants", "limits",     "target",      "outcome",
    "vm",      "caller",   "peer",    "timeout_ms", "cold_left_ms"};

/// Reads the text in each place that it may stand in.
void decodeEverywhere(const std::string &Text) {
  (void)decodeEndpoint("i-1", Text);
  (void)decodeConfiguration(Text);
  (void)decodeRolloutOrder("s", Text, store_revision{});
  (void)decodeRolloutStatus(Text);
  (void)decodeRolloutRecord(Text);
  (void)decodeMember(Text);
  (void)decodeEngineReport(Text);
}

} // namespace

TEST_CASE(
    "No odd entry of another writer, and no odd report, ends the process") {
  const std::string Endpoint =
      R"("service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
      R"("state":"ready","slots":4,"running":1,"queued":0)";
  for (const std::string &Value : oddValues()) {
    decodeEverywhere(Value);
    decodeEverywhere("[" + Value + "]");
    for (const char *Field : Fields) {
      const std::string Member = "\"" + std::string(Field) + "\":" + Value;
      decodeEverywhere("{" + Member + "}");
      // The later of two members with a name counts.
      decodeEverywhere("{" + Endpoint + "," + Member + "}");
    }
  }
}

TEST_CASE("A document that is nested deeper than any of the platform's is "
          "malformed") {
  const auto NestedReport = [](std::size_t Depth) {
    return R"({"running":1,"queued":0,"runs":)" + repeated("[", Depth) +
           repeated("]", Depth) + "}";
  };
  CHECK_FALSE(isError(decodeEngineReport(NestedReport(8))));
  CHECK(isError(decodeEngineReport(NestedReport(100))));
  CHECK_FALSE(isError(decodeEngineReport(R"({"running":1,"queued":0,"note":")" +
                                         repeated("[\\\"", 100) + "\"}")));
}
