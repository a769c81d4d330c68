#include "connection_fixture.h"

#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <thread>

namespace azurehaven {

void recording_handler::onRequest(incoming_request Request,
                                  std::shared_ptr<caller_connection> Caller) {
  ++Served;
  if (HoldsRequests)
    return Waiting.push_back(std::move(Caller));
  Caller->sendResponse(200, {},
                       ResponseBody.empty() ? Request.Body : ResponseBody);
}

rejection_body
recording_handler::onInvalidRequest(request_parse_error ParseError) {
  Rejected.push_back(ParseError);
  return {};
}

connection_fixture::connection_fixture(std::size_t ConnectionLimit) {
  for (std::uint16_t Port = 43000; Port < 44000 && !Listener; ++Port) {
    Address = {"127.0.0.1", Port};
    auto Result =
        connection_listener::listen(Loop, Address, Handler, ConnectionLimit);
    if (!isError(Result))
      Listener = std::move(valueOf(Result));
  }
  REQUIRE(Listener);
}

void connection_fixture::standStill(milliseconds Time) {
  std::this_thread::sleep_for(Time);
}

test_caller::test_caller(connection_fixture &Fixture)
    : Socket(Fixture.Loop), Fixture(Fixture) {
  Socket.connect(
      {asio::ip::make_address(Fixture.Address.Host), Fixture.Address.Port});
}

void test_caller::send(const std::string &Bytes) {
  asio::write(Socket, asio::buffer(Bytes));
}

void test_caller::startReading() {
  if (IsReading || IsClosed)
    return;
  IsReading = true;
  Socket.async_read_some(
      asio::buffer(Buffer),
      [this](const asio::error_code &Code, std::size_t Size) {
        if (Code == asio::error::operation_aborted)
          return;
        IsReading = false;
        Received.append(Buffer.data(), Size);
        IsClosed = !!Code;
        startReading();
      });
}

std::size_t test_caller::responses() const {
  std::size_t Count = 0;
  for (std::size_t At = 0;
       (At = Received.find("HTTP/1.1 ", At)) != std::string::npos; ++At)
    ++Count;
  return Count;
}

void test_caller::awaitResponses(std::size_t Count) {
  awaitResponsesOrClose(Count);
  REQUIRE(responses() >= Count);
}

void test_caller::awaitResponsesOrClose(std::size_t Count) {
  startReading();
  while (responses() < Count && !IsClosed)
    Fixture.Loop.run_one();
}

void test_caller::awaitClose() {
  startReading();
  while (!IsClosed)
    Fixture.Loop.run_one();
}

std::string wholeRequest(const std::string &Body) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace azurehaven
