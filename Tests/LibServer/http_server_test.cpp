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

/// How long a new caller waits for its answer before it counts as kept out.
constexpr milliseconds Patience{5000};

network_address addressOf(std::uint16_t Port) { return {"127.0.0.1", Port}; }

std::unique_ptr<http_server> listenSomewhere(const http_server_limits &Limits,
                                             const http_handler &Handler,
                                             std::uint16_t &Port) {
  for (Port = 43000; Port < 44000; ++Port) {
    auto Server = http_server::listen(addressOf(Port), Limits, Handler);
    if (!isError(Server))
      return std::move(valueOf(Server));
  }
  return nullptr;
}

/// Gives a number of equal parts, then ends whole or cut.
class repeated_part : public body_source {
public:
  repeated_part(std::string Part, std::size_t Count, bool IsWhole,
                std::shared_ptr<std::atomic<std::size_t>> Taken,
                std::shared_ptr<std::promise<void>> Destroyed)
      : Part(std::move(Part)), Count(Count), EndsWhole(IsWhole),
        Taken(std::move(Taken)), Destroyed(std::move(Destroyed)) {}
  ~repeated_part() override { Destroyed->set_value(); }
  repeated_part(const repeated_part &) = delete;
  repeated_part &operator=(const repeated_part &) = delete;

  std::optional<std::string> next() override {
    if (*Taken == Count)
      return std::nullopt;
    ++*Taken;
    return Part;
  }
  bool isComplete() const override { return EndsWhole; }

private:
  const std::string Part;
  const std::size_t Count;
  const bool EndsWhole;
  const std::shared_ptr<std::atomic<std::size_t>> Taken;
  const std::shared_ptr<std::promise<void>> Destroyed;
};

/// What a test sees of the body that a handler gave.
struct watched_body {
  std::shared_ptr<std::atomic<std::size_t>> Taken =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::shared_ptr<std::promise<void>> Destroyed =
      std::make_shared<std::promise<void>>();

  http_handler handler(std::string Part, std::size_t Count,
                       bool IsWhole) const {
    return [=, Watch = *this](const served_request &) {
      served_response Response;
      Response.Source = std::make_unique<repeated_part>(
          Part, Count, IsWhole, Watch.Taken, Watch.Destroyed);
      return Response;
    };
  }
};

http_request requestOf(const std::string &Path) {
  http_request Request;
  Request.Path = Path;
  return Request;
}

served_response answerPath(const served_request &Request) {
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

TEST_CASE("New callers are answered beside idle and half-sent connections") {
  http_server_limits Limits;
  Limits.Connections = 20;
  std::uint16_t Port = 0;
  auto Server = listenSomewhere(Limits, answerPath, Port);
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
  Timeouts.Read = Patience;
  const auto Outcome =
      Transport.send(addressOf(Port), Request, Timeouts, connection_use::Fresh);
  REQUIRE(std::holds_alternative<http_response>(Outcome));
  CHECK(std::get<http_response>(Outcome).Body == "/new");
}

TEST_CASE("A streamed body arrives in order and ends whole") {
  watched_body Body;
  std::uint16_t Port = 0;
  auto Server = listenSomewhere({}, Body.handler("abc", 1000, true), Port);
  REQUIRE(Server);
  pooled_http_transport Transport;
  const auto Outcome = Transport.send(addressOf(Port), requestOf("/"), {},
                                      connection_use::Fresh);
  REQUIRE(std::holds_alternative<http_response>(Outcome));
  CHECK(std::get<http_response>(Outcome).Body.size() == 3000);
}

TEST_CASE("A body that ends cut is no whole answer") {
  watched_body Body;
  std::uint16_t Port = 0;
  auto Server = listenSomewhere({}, Body.handler("abc", 10, false), Port);
  REQUIRE(Server);
  pooled_http_transport Transport;
  const auto Outcome = Transport.send(addressOf(Port), requestOf("/"), {},
                                      connection_use::Fresh);
  CHECK(std::holds_alternative<http_failure>(Outcome));
}

TEST_CASE("A body stops being produced when its caller has gone") {
  watched_body Body;
  std::uint16_t Port = 0;
  const std::size_t Endless = std::numeric_limits<std::size_t>::max();
  auto Server = listenSomewhere(
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
  // Returns only when the source has been destroyed.
  Body.Destroyed->get_future().wait();
}

TEST_CASE("A caller that does not read holds its body back") {
  watched_body Body;
  std::uint16_t Port = 0;
  constexpr std::size_t PartBytes = 64 * 1024;
  constexpr std::size_t Parts = 4096;
  auto Server = listenSomewhere(
      {}, Body.handler(std::string(PartBytes, 'x'), Parts, true), Port);
  REQUIRE(Server);
  asio::io_context Loop(1);
  auto Socket = connectTo(Loop, Port);
  asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                               "Host: h\r\n\r\n")));
  asio::streambuf Head;
  asio::read_until(Socket, Head, "\r\n\r\n");
  // The count stands still once the bounds of server and sockets are reached.
  std::size_t Before = 0;
  do {
    Before = *Body.Taken;
    std::this_thread::sleep_for(milliseconds(200));
  } while (*Body.Taken != Before);
  CHECK(*Body.Taken < Parts);
  Socket.close();
  Body.Destroyed->get_future().wait();
}

TEST_CASE("A stop lets running answers go out and refuses new connections") {
  std::promise<void> Started;
  std::promise<void> Released;
  std::uint16_t Port = 0;
  auto Server = listenSomewhere(
      {},
      [&](const served_request &Request) {
        Started.set_value();
        Released.get_future().wait();
        return answerPath(Request);
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
  // Refused as soon as the listener has left the address.
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

TEST_CASE("Bytes that are no request get an error that says not run") {
  std::uint16_t Port = 0;
  auto Server = listenSomewhere({}, answerPath, Port);
  REQUIRE(Server);
  asio::io_context Loop(1);
  auto Socket = connectTo(Loop, Port);
  asio::write(Socket, asio::buffer(std::string("nonsense\r\n\r\n")));
  std::string Answer;
  asio::error_code Code;
  asio::read(Socket, asio::dynamic_buffer(Answer), Code);
  CHECK(Code == asio::error::eof);
  CHECK(Answer.starts_with("HTTP/1.1 400 "));
  CHECK(Answer.find("\"run\":\"not_run\"") != std::string::npos);
}
