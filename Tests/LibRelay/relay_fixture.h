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

enum class after_response { Keep, Close, Reset, Hang };

/// How a scripted endpoint responds to one request.
struct scripted_response {
  std::string Bytes;
  after_response After = after_response::Keep;
  milliseconds Delay{0};
  /// Sent after Bytes, again and again until the relay closes the connection;
  /// nothing if empty.
  std::string Endless{};
  milliseconds EndlessInterval{0};
  /// Whether Bytes are sent once more as the next request comes on the
  /// connection.
  bool HasLateCopy = false;
};

/// A request that a scripted endpoint received.
struct received_request {
  std::string Endpoint;
  request_head Head;
  std::string Body;
};

/// The system's clock, which a test can set forward.
class skippable_clock : public clock_source {
public:
  steady_time now() const override { return Clock.now() + Skipped; }
  unix_millis wallNow() const override {
    return Clock.wallNow() + unix_millis(Skipped.count());
  }
  void skip(milliseconds Time) { Skipped += Time; }

private:
  boot_clock_source Clock;
  milliseconds Skipped{0};
};

/// A relay on the loopback interface with scripted endpoints.
class relay_fixture {
public:
  /// Returns the response to the request with this index, counted over all
  /// endpoints.
  using script =
      std::function<scripted_response(std::size_t, const received_request &)>;

  explicit relay_fixture(std::size_t EndpointCount = 2);
  /// Another VM with the same event loop, clock and endpoints; to be destroyed
  /// before the first one.
  relay_fixture(relay_fixture &First, const std::string &Vm);
  ~relay_fixture();

  route &addRoute(const std::string &Prefix, route_kind Kind);
  /// Applies the routes and confirms the configuration as current.
  void applyRoutes();
  void setScript(script NewScript) { Script = std::move(NewScript); }

  /// Sends a request for this path and waits for the complete response or a
  /// failure.
  call_result sendRequest(const std::string &Path,
                          const std::string &Fields = {},
                          const std::string &Body = {});
  /// Starts a request and returns its connection without waiting.
  std::shared_ptr<endpoint_connection>
  startRequest(const std::string &Path, call_handler Handler,
               const std::string &Fields = {},
               const std::string &Method = "GET");
  void runUntil(const std::function<bool()> &IsDone);
  /// Sends more on the connection on which the request with this index came,
  /// whose script said to hang; Delay is not used.
  void respondFurther(std::size_t Number, const scripted_response &Response);
  /// Whether the relay has kept the connection of that request open.
  bool isOpen(std::size_t Number) const;

private:
  /// What the VMs of a fleet have in common.
  struct shared_parts {
    asio::io_context Loop{1};
    skippable_clock Clock;
  };
  std::shared_ptr<shared_parts> Shared;

public:
  asio::io_context &Loop;
  skippable_clock &Clock;
  plain_codec Codec;
  null_event_log Log;
  metrics Metrics;
  fleet_state Fleet;
  connection_pool Connections;
  relay_context Context;
  relay Relay;
  relay ForwardingRelay;
  network_address ForwardingAddress;
  std::vector<received_request> Received;
  /// Bytes that endpoints have sent by scripted_response::Endless.
  std::size_t EndlessBytesSent = 0;
  /// Connections to endpoints that the relay has closed.
  std::size_t ClosedByRelay = 0;
  route_table::content Content;
  std::map<endpoint_id, network_address> EndpointAddresses;

private:
  class scripted_endpoint;
  relay_fixture(std::shared_ptr<shared_parts> Shared, const std::string &Vm);
  std::unique_ptr<connection_listener> listen(request_handler &Handler,
                                              network_address &Address);
  network_address CallerAddress;
  std::unique_ptr<connection_listener> Listener;
  std::unique_ptr<connection_listener> ForwardingListener;
  std::list<std::unique_ptr<scripted_endpoint>> Endpoints;
  script Script;
  struct served_request {
    std::function<void(const scripted_response &)> Send;
    std::function<bool()> IsOpen;
  };
  const served_request &served(std::size_t Number) const;
  std::vector<served_request> Served;
};

/// An endpoint's response with a Content-Length.
std::string wholeResponse(int Status, const std::string &Fields,
                          const std::string &Body);
/// One chunk of a body with Transfer-Encoding: chunked.
std::string chunk(const std::string &Bytes);
/// One event of a stream.
std::string event(int Id);
/// The status of a response; 0 if the connection was closed before its end.
int statusOf(const call_result &Result);
std::string bodyOf(const call_result &Result);
std::string fieldOf(const call_result &Result, const std::string &Name);

} // namespace azurehaven
