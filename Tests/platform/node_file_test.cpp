#include "platform/node_file.h"

#include <doctest/doctest.h>

using namespace azurehaven;
using namespace azurehaven::platform;

namespace {

const std::string ValidText = R"(
node: "front-a-1"
zone: "a"
listen:
  front: "10.1.0.40:8227"
  ready: "10.1.0.40:8220"
  directory: "10.1.0.40:8224"
port_range: [7340, 7355]
limits: { max_fds: 4100 }
bounds:
  grace_s: 8
  fail_closed: true
  revoke_ms: 5000
  retry_budget_ratio: 0.9
  budget_window_s: 10
  budget_slack: 52
  expose_share: 0.15
  expose_slack: 30
provider: { address: "10.200.1.7:8223" }
some_new_field: [1, 2]
)";

} // namespace

TEST_CASE("The platform's settings file is decoded into relay settings") {
  std::vector<std::string> Errors;
  const node_settings Settings = decodeNodeFile(ValidText, Errors);
  CHECK(Errors.empty());
  CHECK(Settings.Relay.Vm == vm_id("front-a-1"));
  CHECK(Settings.Relay.Domain == failure_domain_id("a"));
  CHECK(Settings.Relay.PeerAddress.text() == "10.1.0.40:7340");
  CHECK(Settings.Relay.ForwardingAddress.text() == "10.1.0.40:7341");
  CHECK(Settings.Relay.StopGrace == milliseconds(8000));
  CHECK(Settings.Relay.RevokeBound == milliseconds(5000));
  CHECK(Settings.Relay.Retries.Window == milliseconds(10000));
  CHECK(Settings.Relay.Exposure.Share == doctest::Approx(0.15));
  CHECK(Settings.Relay.Exposure.Slack == doctest::Approx(30));
  CHECK(Settings.StoreAddress.text() == "10.200.1.7:8223");
}

TEST_CASE("Each invalid field has an error that starts with its name") {
  std::vector<std::string> Errors;
  decodeNodeFile(R"(
listen: { front: "nowhere", ready: 5 }
port_range: 7
bounds: { grace_s: soon, fail_closed: 12 }
)",
                 Errors);
  const auto HasErrorFor = [&](const std::string &Field) {
    return std::any_of(Errors.begin(), Errors.end(), [&](const auto &Error) {
      return Error.starts_with(Field + ": ");
    });
  };
  for (const char *Field :
       {"node", "zone", "listen.front", "listen.ready", "listen.directory",
        "provider.address", "port_range", "bounds.grace_s",
        "bounds.fail_closed"}) {
    CAPTURE(Field);
    CHECK(HasErrorFor(Field));
  }
}

TEST_CASE("Text that is not a YAML mapping gives one error") {
  for (const char *Text : {"", "[1, 2]", "{", "just text"}) {
    CAPTURE(Text);
    std::vector<std::string> Errors;
    decodeNodeFile(Text, Errors);
    CHECK(Errors.size() == 1);
  }
}
