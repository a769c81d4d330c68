#pragma once

#include "LibConnection/connection_listener.h"
#include "LibConnection/single_call.h"
#include "LibRelay/relay.h"
#include "plain_codec.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <list>

namespace azurehaven {

enum class after_response { Keep, Close, Reset, Silence };

/// What a scripted endpoint does with one request.
struct scripted_response {
  std::string Bytes;
  after_response After = after_response::Keep;
  milliseconds Delay{0};
};

/// One request as an endpoint has received it.
struct received_request {
  std::string Endpoint;
  request_head Head;
  std::string Body;
};

/// A relay on loopback with endpoints that follow a script.
class relay_fixture {
public:
  /// Answers the request with this number, counted over all endpoints.
  using script =
      std::function<scripted_response(std::size_t, const received_request &)>;

  explicit relay_fixture(std::size_t EndpointCount = 2);
  ~relay_fixture();

  route &addRoute(const std::string &Prefix, route_kind Kind);
  /// Puts the routes in force and confirms them.
  void applyRoutes();
  void setScript(script NewScript) { Script = std::move(NewScript); }

  /// Sends a request of this path and waits for the whole answer or failure.
  call_result ask(const std::string &Path, const std::string &Fields = {},
                  const std::string &Body = {});
  /// Starts a request whose connection the test holds.
  std::shared_ptr<endpoint_connection> startAsking(const std::string &Path,
                                                   call_handler Handler);
  void runUntil(const std::function<bool()> &IsDone);

  asio::io_context Loop{1};
  boot_clock_source Clock;
  plain_codec Codec;
  null_event_log Log;
  metrics Metrics;
  fleet_state Fleet;
  connection_pool Connections;
  relay_context Context;
  relay Relay;
  std::vector<received_request> Received;
  /// Connections to endpoints that the relay has closed.
  std::size_t ClosedByRelay = 0;
  route_table::content Content;

private:
  class scripted_endpoint;
  network_address CallerAddress;
  std::unique_ptr<connection_listener> Listener;
  std::list<std::unique_ptr<scripted_endpoint>> Endpoints;
  script Script;
};

/// A response of an endpoint with its length.
std::string wholeResponse(int Status, const std::string &Fields,
                          const std::string &Body);
/// The status of an answer; 0 for a connection that broke off.
int statusOf(const call_result &Result);
std::string bodyOf(const call_result &Result);
std::string fieldOf(const call_result &Result, const std::string &Name);

} // namespace azurehaven
