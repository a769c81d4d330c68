#include "LibHttp/pooled_http_transport.h"
#include "LibServer/http_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

using namespace azurehaven;

namespace {

/// How long a new caller waits for its response before the test counts it as
/// blocked.
constexpr milliseconds ResponseTimeout{5000};

network_address addressOf(std::uint16_t Port) { return {"127.0.0.1", Port}; }

std::unique_ptr<http_server> listenOnFreePort(const http_server_limits &Limits,
                                              const http_handler &Handler,
                                              std::uint16_t &Port) {
  for (Port = 43000; Port < 44000; ++Port) {
    auto Server = http_server::listen(addressOf(Port), Limits, Handler);
    if (!isError(Server))
      return std::move(valueOf(Server));
  }
  return nullptr;
}

/// Produces a number of equal chunks, then ends complete or truncated.
class repeated_chunk : public body_source {
public:
  repeated_chunk(std::string Chunk, std::size_t Count, bool IsComplete,
                 std::shared_ptr<std::atomic<std::size_t>> ChunksTaken,
                 std::shared_ptr<std::promise<void>> Destroyed)
      : Chunk(std::move(Chunk)), Count(Count), EndsComplete(IsComplete),
        ChunksTaken(std::move(ChunksTaken)), Destroyed(std::move(Destroyed)) {}
  ~repeated_chunk() override { Destroyed->set_value(); }
  repeated_chunk(const repeated_chunk &) = delete;
  repeated_chunk &operator=(const repeated_chunk &) = delete;

  std::optional<std::string> next() override {
    if (*ChunksTaken == Count)
      return std::nullopt;
    ++*ChunksTaken;
    return Chunk;
  }
  bool isComplete() const override { return EndsComplete; }

private:
  const std::string Chunk;
  const std::size_t Count;
  const bool EndsComplete;
  const std::shared_ptr<std::atomic<std::size_t>> ChunksTaken;
  const std::shared_ptr<std::promise<void>> Destroyed;
};

/// Lets a test observe the body source of a handler.
struct observed_body {
  std::shared_ptr<std::atomic<std::size_t>> ChunksTaken =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::shared_ptr<std::promise<void>> Destroyed =
      std::make_shared<std::promise<void>>();

  http_handler handler(std::string Chunk, std::size_t Count,
                       bool IsComplete) const {
    return [=, Observed = *this](const served_request &) {
      served_response Response;
      Response.Source = std::make_unique<repeated_chunk>(
          Chunk, Count, IsComplete, Observed.ChunksTaken, Observed.Destroyed);
      return Response;
    };
  }
};

http_request requestOf(const std::string &Path) {
  http_request Request;
  Request.Path = Path;
  return Request;
}

served_response respondWithPath(const served_request &Request) {
  served_response Response;
  Response.Body = Request.Path;
  return Response;
}

asio::ip::tcp::socket connectTo(asio::io_context &Loop, std::uint16_t Port) {
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  return Socket;
}

} // namespace

TEST_CASE(
    "New callers are served beside idle connections and incomplete heads") {
  http_server_limits Limits;
  Limits.Connections = 20;
  std::uint16_t Port = 0;
  auto Server = listenOnFreePort(Limits, respondWithPath, Port);
  REQUIRE(Server);
  asio::io_context Loop(1);
  std::vector<asio::ip::tcp::socket> Idle;
  for (std::size_t Index = 0; Index < 5 * Limits.Connections; ++Index) {
    Idle.push_back(connectTo(Loop, Port));
    if (Index % 2 == 0)
      asio::write(Idle.back(), asio::buffer(std::string("GET /half HT")));
  }
  pooled_http_transport Transport;
  http_request Request;
  Request.Path = "/new";
  http_timeouts Timeouts;
  Timeouts.Read = ResponseTimeout;
  const auto Outcome =
      Transport.send(addressOf(Port), Request, Timeouts, connection_use::Fresh);
  REQUIRE(std::holds_alternative<http_response>(Outcome));
  CHECK(std::get<http_response>(Outcome).Body == "/new");
}

TEST_CASE("A streamed body arrives in order and complete") {
  observed_body Body;
  std::uint16_t Port = 0;
  auto Server = listenOnFreePort({}, Body.handler("abc", 1000, true), Port);
  REQUIRE(Server);
  pooled_http_transport Transport;
  const auto Outcome = Transport.send(addressOf(Port), requestOf("/"), {},
                                      connection_use::Fresh);
  REQUIRE(std::holds_alternative<http_response>(Outcome));
  CHECK(std::get<http_response>(Outcome).Body.size() == 3000);
}

TEST_CASE("A truncated body fails the request of the caller") {
  observed_body Body;
  std::uint16_t Port = 0;
  auto Server = listenOnFreePort({}, Body.handler("abc", 10, false), Port);
  REQUIRE(Server);
  pooled_http_transport Transport;
  const auto Outcome = Transport.send(addressOf(Port), requestOf("/"), {},
                                      connection_use::Fresh);
  CHECK(std::holds_alternative<http_failure>(Outcome));
}

TEST_CASE("A body is no longer produced once its caller has disconnected") {
  observed_body Body;
  std::uint16_t Port = 0;
  const std::size_t Endless = std::numeric_limits<std::size_t>::max();
  auto Server = listenOnFreePort(
      {}, Body.handler(std::string(4096, 'x'), Endless, true), Port);
  REQUIRE(Server);
  asio::io_context Loop(1);
  {
    auto Socket = connectTo(Loop, Port);
    asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                                 "Host: h\r\n\r\n")));
    asio::streambuf Head;
    asio::read_until(Socket, Head, "\r\n\r\n");
  }
  // Returns only once the body source is destroyed.
  Body.Destroyed->get_future().wait();
}

TEST_CASE("A caller that does not read pauses the production of its body") {
  observed_body Body;
  std::uint16_t Port = 0;
  constexpr std::size_t ChunkBytes = 64 * 1024;
  constexpr std::size_t ChunkCount = 4096;
  auto Server = listenOnFreePort(
      {}, Body.handler(std::string(ChunkBytes, 'x'), ChunkCount, true), Port);
  REQUIRE(Server);
  asio::io_context Loop(1);
  auto Socket = connectTo(Loop, Port);
  asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                               "Host: h\r\n\r\n")));
  asio::streambuf Head;
  asio::read_until(Socket, Head, "\r\n\r\n");
  // The count stops growing once the buffers of server and sockets are full.
  std::size_t Before = 0;
  do {
    Before = *Body.ChunksTaken;
    std::this_thread::sleep_for(milliseconds(200));
  } while (*Body.ChunksTaken != Before);
  CHECK(*Body.ChunksTaken < ChunkCount);
  Socket.close();
  Body.Destroyed->get_future().wait();
}

TEST_CASE("stop() completes running responses and refuses new connections") {
  std::promise<void> Started;
  std::promise<void> Released;
  std::uint16_t Port = 0;
  auto Server = listenOnFreePort(
      {},
      [&](const served_request &Request) {
        Started.set_value();
        Released.get_future().wait();
        return respondWithPath(Request);
      },
      Port);
  REQUIRE(Server);
  pooled_http_transport Transport;
  auto Running = std::async(std::launch::async, [&] {
    return Transport.send(addressOf(Port), requestOf("/running"), {},
                          connection_use::Fresh);
  });
  Started.get_future().wait();
  auto Stopping = std::async(std::launch::async, [&] { Server->stop(); });
  // Refused as soon as the server has stopped listening.
  while (true) {
    asio::io_context Loop(1);
    asio::ip::tcp::socket Socket(Loop);
    asio::error_code Code;
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port}, Code);
    if (Code)
      break;
  }
  Released.set_value();
  const auto Outcome = Running.get();
  Stopping.get();
  REQUIRE(std::holds_alternative<http_response>(Outcome));
  CHECK(std::get<http_response>(Outcome).Body == "/running");
}

TEST_CASE("A malformed request gets an error that states it was not run") {
  std::uint16_t Port = 0;
  auto Server = listenOnFreePort({}, respondWithPath, Port);
  REQUIRE(Server);
  asio::io_context Loop(1);
  auto Socket = connectTo(Loop, Port);
  asio::write(Socket, asio::buffer(std::string("nonsense\r\n\r\n")));
  std::string Received;
  asio::error_code Code;
  asio::read(Socket, asio::dynamic_buffer(Received), Code);
  CHECK(Code == asio::error::eof);
  CHECK(Received.starts_with("HTTP/1.1 400 "));
  CHECK(Received.find("\"run\":\"not_run\"") != std::string::npos);
}

TEST_CASE("stop() answers a request that is still incomplete") {
  std::uint16_t Port = 0;
  auto Server = listenOnFreePort({}, respondWithPath, Port);
  REQUIRE(Server);
  asio::io_context Loop(1);
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  asio::write(Socket, asio::buffer(std::string("GET / HT")));
  Server->stop();
  std::string Response;
  asio::error_code Code;
  asio::read(Socket, asio::dynamic_buffer(Response), Code);
  CHECK(Response.starts_with("HTTP/1.1 408 "));
  CHECK(Code == asio::error::eof);
}
