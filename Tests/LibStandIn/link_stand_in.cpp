#include "LibStandIn/link_stand_in.h"

#include <array>
#include <asio.hpp>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace azurehaven {

using asio::ip::tcp;
using nlohmann::json;

namespace {

tcp::endpoint endpointOf(const network_address &Address) {
  return {asio::ip::make_address(Address.Host), Address.Port};
}

/// One forwarded connection: Near is the accepted side, Far the connection to
/// the target.
class forwarded_connection
    : public std::enable_shared_from_this<forwarded_connection> {
public:
  forwarded_connection(tcp::socket Near, asio::io_context &Context,
                       std::shared_ptr<bool> IsCut)
      : Near(std::move(Near)), Far(Context), IsCut(std::move(IsCut)) {}

  void start(const tcp::endpoint &Target) {
    auto Self = shared_from_this();
    Far.async_connect(Target, [Self](std::error_code Code) {
      if (Code)
        return Self->close();
      std::error_code Ignored;
      Self->Near.set_option(tcp::no_delay(true), Ignored);
      Self->Far.set_option(tcp::no_delay(true), Ignored);
      Self->pump(Self->Near, Self->Far, Self->NearBytes);
      Self->pump(Self->Far, Self->Near, Self->FarBytes);
    });
  }

  void close() {
    std::error_code Ignored;
    Near.close(Ignored);
    Far.close(Ignored);
  }

private:
  using buffer = std::array<char, 16384>;

  void pump(tcp::socket &From, tcp::socket &To, buffer &Bytes) {
    auto Self = shared_from_this();
    From.async_read_some(
        asio::buffer(Bytes),
        [Self, &From, &To, &Bytes](std::error_code Code, std::size_t Length) {
          // A cut link drops the bytes and stops reading.
          if (*Self->IsCut)
            return;
          if (Code)
            return Self->close();
          asio::async_write(
              To, asio::buffer(Bytes, Length),
              [Self, &From, &To, &Bytes](std::error_code Failed, std::size_t) {
                if (Failed)
                  return Self->close();
                Self->pump(From, To, Bytes);
              });
        });
  }

  tcp::socket Near;
  tcp::socket Far;
  std::shared_ptr<bool> IsCut;
  buffer NearBytes{};
  buffer FarBytes{};
};

} // namespace

class link_stand_in::link {
public:
  link(asio::io_context &Context, const network_address &Listen,
       const network_address &Target)
      : Context(Context), Acceptor(Context, endpointOf(Listen)),
        Target(endpointOf(Target)) {
    accept();
  }

  void setCut(bool Wanted) {
    *IsCut = Wanted;
    if (Wanted)
      return;
    for (const auto &Weak : Connections)
      if (auto Connection = Weak.lock())
        Connection->close();
    Connections.clear();
  }

private:
  void accept() {
    Acceptor.async_accept([this](std::error_code Code, tcp::socket Near) {
      if (Code)
        return;
      auto Connection = std::make_shared<forwarded_connection>(std::move(Near),
                                                               Context, IsCut);
      Connections.push_back(Connection);
      if (*IsCut)
        Held.push_back(Connection);
      else
        Connection->start(Target);
      accept();
    });
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  const tcp::endpoint Target;
  std::shared_ptr<bool> IsCut = std::make_shared<bool>(false);
  std::vector<std::weak_ptr<forwarded_connection>> Connections;
  /// Connections accepted during a cut; they are never connected to the target.
  std::vector<std::shared_ptr<forwarded_connection>> Held;
};

class link_stand_in::state {
public:
  state() : Worker([this] { Context.run(); }) {}
  ~state() {
    Context.stop();
    Worker.join();
  }

  /// Runs a task on the network thread and waits until it is done.
  template <typename Task> void run(Task Work) {
    std::promise<void> Done;
    asio::post(Context, [&] {
      Work();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Guard{
      Context.get_executor()};
  std::map<std::string, std::unique_ptr<link>> Links;
  std::thread Worker;
};

link_stand_in::link_stand_in() : State(std::make_unique<state>()) {}
link_stand_in::~link_stand_in() = default;

served_response link_stand_in::control(const served_request &Request) {
  served_response Response;
  const json Body = json::parse(Request.Body, nullptr, false);
  const std::string Name =
      Body.is_object() ? Body.value("name", std::string()) : std::string();
  if (Name.empty()) {
    Response.Status = 400;
    return Response;
  }
  if (Request.Path == "/links") {
    auto Listen = parseNetworkAddress(Body.value("listen", std::string()));
    auto Target = parseNetworkAddress(Body.value("target", std::string()));
    if (isError(Listen) || isError(Target)) {
      Response.Status = 400;
      return Response;
    }
    State->run([&] {
      State->Links[Name] = std::make_unique<link>(
          State->Context, valueOf(Listen), valueOf(Target));
    });
    return Response;
  }
  const bool IsPrefix = Name.ends_with('*');
  const std::string Prefix = IsPrefix ? Name.substr(0, Name.size() - 1) : Name;
  State->run([&] {
    for (const auto &[Known, Link] : State->Links)
      if (IsPrefix ? Known.starts_with(Prefix) : Known == Name)
        Link->setCut(Request.Path == "/cut");
  });
  return Response;
}

} // namespace azurehaven
