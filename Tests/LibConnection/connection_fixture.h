#pragma once

#include "LibConnection/connection_listener.h"

#include <asio/io_context.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace azurehaven {

/// Sends each request's body back, and records what happens to connections.
class recording_handler : public request_handler {
public:
  void onRequest(incoming_request Request,
                 std::shared_ptr<caller_connection> Caller) override;
  rejection_body onInvalidRequest(request_parse_error ParseError) override;
  caller_limits limits() const override { return Limits; }
  bool sendsConnectionClose() const override { return SendsConnectionClose; }
  steady_time now() const override { return std::chrono::steady_clock::now(); }
  void onConnectionClosed(const closed_connection &New) override {
    Closed.push_back(New);
  }

  caller_limits Limits;
  /// Sent instead of the request's body if not empty.
  std::string ResponseBody;
  /// Requests wait for answerWaiting() if set.
  bool HoldsRequests = false;
  bool SendsConnectionClose = false;
  int Served = 0;
  std::vector<request_parse_error> Rejected;
  std::vector<closed_connection> Closed;
  std::vector<std::shared_ptr<caller_connection>> Waiting;
};

/// A listener on a free port of the loopback address with its event loop.
struct connection_fixture {
  explicit connection_fixture(std::size_t ConnectionLimit = 10);

  /// Blocks the event loop, as if the process got no processor time.
  static void standStill(milliseconds Time);

  asio::io_context Loop{1};
  recording_handler Handler;
  network_address Address;
  std::unique_ptr<connection_listener> Listener;
};

/// A connected caller that collects all it receives.
class test_caller {
public:
  explicit test_caller(connection_fixture &Fixture);

  /// Hands the bytes to the operating system without running the event loop.
  void send(const std::string &Bytes);
  void startReading();
  /// Complete responses, counted by their status lines.
  std::size_t responses() const;
  void awaitResponses(std::size_t Count);
  void awaitResponsesOrClose(std::size_t Count);
  void awaitClose();

  std::string Received;
  bool IsClosed = false;
  asio::ip::tcp::socket Socket;

private:
  connection_fixture &Fixture;
  std::array<char, 65536> Buffer;
  bool IsReading = false;
};

/// A POST request with its Content-Length.
std::string wholeRequest(const std::string &Body);

} // namespace azurehaven
