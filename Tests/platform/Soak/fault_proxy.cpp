#include "Soak/fault_proxy.h"

#include "LibSocket/socket_options.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <functional>

namespace azurehaven::platform {

namespace {

using asio::ip::tcp;

constexpr int Backlog = 512;
constexpr milliseconds ChunkDelay{150};
/// Interval at which an idle connection checks for link_fault::Reset.
constexpr milliseconds FaultPollInterval{20};

/// One connection through the proxy.
class proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
public:
  proxied_connection(tcp::socket Caller,
                     std::shared_ptr<const link_condition> Link)
      : Caller(std::move(Caller)), Target(this->Caller.get_executor()),
        Poll(this->Caller.get_executor()), Link(std::move(Link)) {}

  void start(const network_address &To) {
    Target.async_connect(
        socketAddress(To), [Self = shared_from_this()](const auto &Code) {
          if (Code)
            return Self->reset();
          Self->pass(Self->Caller, Self->Target, Self->Requests);
          Self->pass(Self->Target, Self->Caller, Self->Responses);
          Self->watchFault();
        });
  }

private:
  struct direction {
    std::array<char, 16384> Buffer;
    link_fault DroppingFault = link_fault::None;
  };

  void pass(tcp::socket &From, tcp::socket &To, direction &Direction) {
    if (Link->IsHeld)
      return whenReleased(
          [this, &From, &To, &Direction] { pass(From, To, Direction); });
    From.async_read_some(
        asio::buffer(Direction.Buffer),
        [this, Self = shared_from_this(), &From, &To,
         &Direction](const asio::error_code &Code, std::size_t Size) {
          if (Code)
            return whenReleased([this, &To] { end(To); });
          const link_fault Now = Link->Fault;
          const bool IsDropped =
              Now == link_fault::Silence ||
              (Now == link_fault::DropResponses && &From == &Target);
          // Dropped bytes are never delivered, so nothing after them may be
          // forwarded in this direction.
          if (IsDropped)
            Direction.DroppingFault = Now;
          if (Direction.DroppingFault != link_fault::None)
            return pass(From, To, Direction);
          if (&From == &Target)
            LastResponse.assign(Direction.Buffer.data(), Size);
          else if (Now == link_fault::RepeatResponses && !LastResponse.empty())
            repeatResponse();
          const auto Forward = [this, &From, &To, &Direction, Size] {
            whenReleased([this, &From, &To, &Direction, Size] {
              forward(From, To, Direction, Size);
            });
          };
          if (Now == link_fault::Delay)
            return after(ChunkDelay, Forward);
          Forward();
        });
  }

  void repeatResponse() {
    const auto Bytes =
        std::make_shared<const std::string>(std::exchange(LastResponse, {}));
    asio::async_write(Caller, asio::buffer(*Bytes),
                      [Self = shared_from_this(),
                       Bytes](const asio::error_code &, std::size_t) {});
  }

  void after(milliseconds Time, std::function<void()> Action) {
    auto Timer = std::make_shared<asio::steady_timer>(Poll.get_executor());
    Timer->expires_after(Time);
    Timer->async_wait(
        [Self = shared_from_this(), Timer,
         Action = std::move(Action)](const asio::error_code &) { Action(); });
  }

  void whenReleased(const std::function<void()> &Action) {
    if (!Link->IsHeld)
      return Action();
    after(FaultPollInterval, [this, Action] { whenReleased(Action); });
  }

  void forward(tcp::socket &From, tcp::socket &To, direction &Direction,
               std::size_t Size) {
    asio::async_write(To, asio::buffer(Direction.Buffer.data(), Size),
                      [this, Self = shared_from_this(), &From, &To,
                       &Direction](const asio::error_code &Code, std::size_t) {
                        if (Code)
                          return reset();
                        pass(From, To, Direction);
                      });
  }

  void end(tcp::socket &To) {
    asio::error_code Ignored;
    To.shutdown(tcp::socket::shutdown_send, Ignored);
    if (++EndedDirections == 2)
      reset();
  }

  void watchFault() {
    Poll.expires_after(FaultPollInterval);
    Poll.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
      if (Code || Self->IsClosed)
        return;
      if (Self->Link->Fault == link_fault::Reset)
        return Self->reset();
      Self->watchFault();
    });
  }

  /// Closes both sockets, with a TCP reset unless both directions have ended.
  void reset() {
    if (std::exchange(IsClosed, true))
      return;
    asio::error_code Ignored;
    for (tcp::socket *Socket : {&Caller, &Target}) {
      if (EndedDirections < 2)
        resetConnection(*Socket);
      Socket->close(Ignored);
    }
    Poll.cancel();
  }

  tcp::socket Caller;
  tcp::socket Target;
  asio::steady_timer Poll;
  const std::shared_ptr<const link_condition> Link;
  direction Requests;
  direction Responses;
  std::string LastResponse;
  int EndedDirections = 0;
  bool IsClosed = false;
};

} // namespace

fault_proxy::fault_proxy(asio::io_context &Loop, const network_address &To)
    : Acceptor(Loop), To(To), Link(std::make_shared<link_condition>()) {}

result<std::unique_ptr<fault_proxy>>
fault_proxy::listen(asio::io_context &Loop, const network_address &From,
                    const network_address &To) {
  std::unique_ptr<fault_proxy> Proxy(new fault_proxy(Loop, To));
  const auto Address = socketAddress(From);
  asio::error_code Code;
  Proxy->Acceptor.open(Address.protocol(), Code);
  if (!Code)
    Proxy->Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
  if (!Code)
    Proxy->Acceptor.bind(Address, Code);
  if (!Code)
    Proxy->Acceptor.listen(Backlog, Code);
  if (Code)
    return error{error_code::Unavailable,
                 "can't listen on " + From.text() + ": " + Code.message()};
  Proxy->accept();
  return Proxy;
}

void fault_proxy::accept() {
  Acceptor.async_accept(
      [this](const asio::error_code &Code, tcp::socket Socket) {
        if (Code == asio::error::operation_aborted)
          return;
        if (!Code) {
          if (Link->Fault == link_fault::Reset)
            resetConnection(Socket);
          else
            std::make_shared<proxied_connection>(std::move(Socket), Link)
                ->start(To);
        }
        accept();
      });
}

} // namespace azurehaven::platform
