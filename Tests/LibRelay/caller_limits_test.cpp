#include "relay_fixture.h"

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

using configuration_change = std::function<void(route_table::content &)>;

struct named_change {
  const char *Name;
  configuration_change Apply;
};

/// What an operator may change while a request is on its way.
std::vector<named_change> configurationChanges() {
  return {
      {"smaller sizes",
       [](route_table::content &Content) {
         Content.Limits.HeaderBytes = 10;
         Content.Limits.BodyBytes = 10;
       }},
      {"shorter timeouts of callers",
       [](route_table::content &Content) {
         Content.Limits.HeaderTimeout = milliseconds(1);
         Content.Limits.IdleTimeout = milliseconds(1);
       }},
      {"route removed",
       [](route_table::content &Content) { Content.Routes.clear(); }},
      {"key removed",
       [](route_table::content &Content) { Content.AccountsByKey.clear(); }},
      {"shorter timeout of the route",
       [](route_table::content &Content) {
         Content.Routes[0].Timeout = milliseconds(1);
       }},
  };
}

/// A caller whose request comes in parts.
class slow_caller {
public:
  explicit slow_caller(relay_fixture &Fixture)
      : Fixture(Fixture), Socket(Fixture.Loop) {
    const auto Probe = Fixture.startRequest("/", [](const call_result &) {});
    Socket.connect(socketAddress(Probe->address()));
    Probe->abort();
  }
  void send(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes));
    for (int Turn = 0; Turn < 10; ++Turn)
      Fixture.Loop.poll();
  }
  /// All that comes until the connection is closed.
  std::string awaitResponse() {
    std::string Response;
    bool IsClosed = false;
    asio::async_read(
        Socket, asio::dynamic_buffer(Response),
        [&](const asio::error_code &, std::size_t) { IsClosed = true; });
    Fixture.runUntil([&] { return IsClosed; });
    return Response;
  }

private:
  static asio::ip::tcp::endpoint socketAddress(const network_address &Address) {
    return {asio::ip::make_address(Address.Host), Address.Port};
  }
  relay_fixture &Fixture;
  asio::ip::tcp::socket Socket;
};

void configure(relay_fixture &Fixture) {
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.Content.NeedsKeys = true;
  Fixture.Content.AccountsByKey["k"] = {client_account_id("a"), std::nullopt};
  Fixture.applyRoutes();
}

const std::string Request =
    "POST /p/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n"
    "Connection: close\r\nContent-Length: 100\r\n\r\n" +
    std::string(100, 'x');

} // namespace

TEST_CASE("A request that comes in while the configuration changes gets an "
          "answer or a refusal") {
  // Within the head, and within the body.
  for (const std::size_t PartSize : {std::size_t{30}, Request.size() - 50})
    for (const auto &Change : configurationChanges()) {
      CAPTURE(Change.Name);
      CAPTURE(PartSize);
      relay_fixture Fixture;
      Fixture.setScript([](std::size_t, const received_request &) {
        return scripted_response{
            wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
      });
      configure(Fixture);
      slow_caller Caller(Fixture);
      Caller.send(Request.substr(0, PartSize));
      Change.Apply(Fixture.Content);
      Fixture.applyRoutes();
      Caller.send(Request.substr(PartSize, 20));
      Caller.send(Request.substr(PartSize + 20));
      const std::string Response = Caller.awaitResponse();
      CAPTURE(Response);
      CHECK(Response.starts_with("HTTP/1.1 "));
      CHECK_FALSE(Response.starts_with("HTTP/1.1 400 "));
      CHECK_FALSE(Response.starts_with("HTTP/1.1 413 "));
      CHECK_FALSE(Response.starts_with("HTTP/1.1 431 "));
    }
}

TEST_CASE("A request that waits for its endpoint while the configuration "
          "changes gets an answer or a refusal") {
  for (const auto &Change : configurationChanges()) {
    CAPTURE(Change.Name);
    relay_fixture Fixture;
    Fixture.setScript([](std::size_t, const received_request &) {
      return scripted_response{
          wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok"),
          after_response::Keep, milliseconds(30)};
    });
    configure(Fixture);
    slow_caller Caller(Fixture);
    Caller.send(Request);
    Fixture.runUntil([&] { return !Fixture.Received.empty(); });
    Change.Apply(Fixture.Content);
    Fixture.applyRoutes();
    const std::string Response = Caller.awaitResponse();
    CAPTURE(Response);
    CHECK(Response.starts_with("HTTP/1.1 "));
  }
}
