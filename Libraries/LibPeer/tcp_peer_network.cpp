#include "LibPeer/tcp_peer_network.h"

#include "LibPeer/frame_codec.h"
#include "LibSocket/socket_options.h"
#include "LibTypes/memory_budget.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <deque>
#include <thread>

namespace azurehaven {

namespace {

using asio::ip::tcp;

constexpr std::size_t QueueLimitFrames = 256;
constexpr std::size_t InboundConnectionLimit = 4096;
/// Of frames that are being received, over all connections. A notice takes some
/// kilobytes.
constexpr std::size_t InboundBytesLimit = 32 << 20;
constexpr milliseconds ReconnectDelay{200};
/// Longest time that sent frames or a connection attempt may remain
/// unacknowledged.
constexpr milliseconds UnacknowledgedDataTimeout{2000};

struct traffic_counters {
  std::atomic<std::uint64_t> FramesSent = 0;
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> FramesReceived = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
  std::atomic<std::uint64_t> FramesDropped = 0;
  std::atomic<std::uint64_t> BadFrames = 0;
};

/// What all inbound connections have in common.
struct inbound_totals {
  std::size_t Connections = 0;
  memory_budget Frames{InboundBytesLimit};
};

using length_prefix = std::array<unsigned char, 4>;

std::string withLengthPrefix(const std::string &Frame) {
  const auto Length = static_cast<std::uint32_t>(Frame.size());
  std::string Bytes;
  Bytes.reserve(Frame.size() + 4);
  for (int Shift : {24, 16, 8, 0})
    Bytes.push_back(static_cast<char>(Length >> Shift));
  Bytes += Frame;
  return Bytes;
}

std::uint32_t decodeLength(const length_prefix &Prefix) {
  std::uint32_t Length = 0;
  for (unsigned char Byte : Prefix)
    Length = Length << 8 | Byte;
  return Length;
}

/// Reads frames from one accepted connection until an error or a malformed
/// frame.
class inbound_connection
    : public std::enable_shared_from_this<inbound_connection> {
public:
  inbound_connection(tcp::socket Socket, const peer_receiver &Receiver,
                     traffic_counters &Counters,
                     std::shared_ptr<inbound_totals> Totals)
      : Socket(std::move(Socket)), Receiver(Receiver), Counters(Counters),
        Totals(std::move(Totals)), FrameMemory(&this->Totals->Frames) {
    ++this->Totals->Connections;
  }
  ~inbound_connection() { --Totals->Connections; }

  void readPrefix() {
    auto Self = shared_from_this();
    asio::async_read(Socket, asio::buffer(Prefix),
                     [Self](std::error_code Code, std::size_t) {
                       if (!Code)
                         Self->readFrame();
                     });
  }

private:
  void readFrame() {
    const std::uint32_t Length = decodeLength(Prefix);
    if (Length == 0 || Length > FrameLimitBytes) {
      ++Counters.BadFrames;
      return;
    }
    if (!FrameMemory.tryResize(Length)) {
      ++Counters.FramesDropped;
      return;
    }
    Frame.resize(Length);
    auto Self = shared_from_this();
    asio::async_read(Socket, asio::buffer(Frame),
                     [Self](std::error_code Code, std::size_t) {
                       if (!Code)
                         Self->deliver();
                     });
  }

  void deliver() {
    auto Decoded = decodeFrame(Frame);
    if (isError(Decoded)) {
      ++Counters.BadFrames;
      return;
    }
    ++Counters.FramesReceived;
    Counters.BytesReceived += Frame.size() + Prefix.size();
    Receiver(valueOf(Decoded));
    Frame = std::string();
    FrameMemory.resize(0);
    readPrefix();
  }

  tcp::socket Socket;
  const peer_receiver &Receiver;
  traffic_counters &Counters;
  std::shared_ptr<inbound_totals> Totals;
  memory_reservation FrameMemory;
  length_prefix Prefix{};
  std::string Frame;
};

/// The connection to one peer, with a bounded queue of frames. Opened when a
/// frame is queued.
class outbound_connection
    : public std::enable_shared_from_this<outbound_connection> {
public:
  outbound_connection(asio::io_context &Context, const network_address &Address,
                      traffic_counters &Counters)
      : Socket(Context), RetryTimer(Context), Address(Address),
        Counters(Counters) {}

  const network_address &address() const { return Address; }

  void send(std::string Bytes) {
    if (Queue.size() >= QueueLimitFrames) {
      ++Counters.FramesDropped;
      return;
    }
    Queue.push_back(std::move(Bytes));
    if (State == connection_state::Closed)
      connect();
    else if (State == connection_state::Open && Queue.size() == 1)
      writeNextFrame();
  }

  void close() {
    IsClosed = true;
    std::error_code Ignored;
    Socket.close(Ignored);
    RetryTimer.cancel();
  }

private:
  /// Connecting includes the delay before a reconnect.
  enum class connection_state { Closed, Connecting, Open };

  void connect() {
    State = connection_state::Connecting;
    std::error_code Ignored;
    Socket = tcp::socket(Socket.get_executor());
    // With this timeout, an unreachable peer or a broken connection causes an
    // error and a reconnect; without it, frames would be lost unnoticed.
    Socket.open(tcp::v4(), Ignored);
    setConnectionOptions(Socket, UnacknowledgedDataTimeout);
    tcp::endpoint Endpoint(asio::ip::make_address(Address.Host, Ignored),
                           Address.Port);
    auto Self = shared_from_this();
    Socket.async_connect(Endpoint, [Self](std::error_code Code) {
      if (Self->IsClosed)
        return;
      if (Code)
        return Self->handleConnectionError();
      Self->State = connection_state::Open;
      Self->watchForClose();
      Self->writeNextFrame();
    });
  }

  /// Peers send nothing back on this connection, so that a completed read means
  /// that it was closed. A write would detect this only after losing one frame.
  void watchForClose() {
    auto Self = shared_from_this();
    Socket.async_read_some(asio::buffer(DiscardedBytes),
                           [Self](std::error_code Code, std::size_t) {
                             if (Code == asio::error::operation_aborted)
                               return;
                             std::error_code Ignored;
                             Self->Socket.close(Ignored);
                             if (Self->Queue.empty())
                               Self->State = connection_state::Closed;
                           });
  }

  void writeNextFrame() {
    if (Queue.empty())
      return;
    auto Self = shared_from_this();
    asio::async_write(Socket, asio::buffer(Queue.front()),
                      [Self](std::error_code Code, std::size_t Length) {
                        if (Self->IsClosed)
                          return;
                        if (Code)
                          return Self->handleConnectionError();
                        ++Self->Counters.FramesSent;
                        Self->Counters.BytesSent += Length;
                        Self->Queue.pop_front();
                        Self->writeNextFrame();
                      });
  }

  /// Drops the queue, since its heartbeats are stale once a connection breaks,
  /// and reconnects after ReconnectDelay if frames were queued meanwhile.
  void handleConnectionError() {
    Counters.FramesDropped += Queue.size();
    Queue.clear();
    std::error_code Ignored;
    Socket.close(Ignored);
    State = connection_state::Connecting;
    auto Self = shared_from_this();
    RetryTimer.expires_after(ReconnectDelay);
    RetryTimer.async_wait([Self](std::error_code Code) {
      if (Code || Self->IsClosed)
        return;
      Self->State = connection_state::Closed;
      if (!Self->Queue.empty())
        Self->connect();
    });
  }

  tcp::socket Socket;
  asio::steady_timer RetryTimer;
  const network_address Address;
  traffic_counters &Counters;
  connection_state State = connection_state::Closed;
  bool IsClosed = false;
  std::deque<std::string> Queue;
  std::array<char, 16> DiscardedBytes{};
};

} // namespace

class tcp_peer_network::network_state
    : public std::enable_shared_from_this<network_state> {
public:
  network_state(vm_id Self, std::uint64_t Incarnation, peer_receiver Receiver)
      : Self(std::move(Self)), Incarnation(Incarnation),
        Receiver(std::move(Receiver)), Acceptor(Context) {}

  bool bind(const network_address &Address) {
    std::error_code Code;
    tcp::endpoint Endpoint(asio::ip::make_address(Address.Host, Code),
                           Address.Port);
    if (!Code)
      Acceptor.open(Endpoint.protocol(), Code);
    if (!Code)
      Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
    if (!Code)
      Acceptor.bind(Endpoint, Code);
    if (!Code)
      Acceptor.listen(asio::socket_base::max_listen_connections, Code);
    return !Code;
  }

  void start() {
    accept();
    NetworkThread = std::thread([this] { Context.run(); });
  }

  void stop() {
    Context.stop();
    NetworkThread.join();
  }

  void setPeers(const std::map<vm_id, network_address> &Peers) {
    asio::post(Context, [this, Peers] { updateOutboundConnections(Peers); });
  }

  void send(const vm_id &To, peer_message Message) {
    auto Bytes =
        withLengthPrefix(encodeFrame({Self, Incarnation, std::move(Message)}));
    asio::post(Context, [this, To, Bytes = std::move(Bytes)]() mutable {
      auto Found = OutboundConnections.find(To);
      if (Found == OutboundConnections.end())
        ++Counters.FramesDropped;
      else
        Found->second->send(std::move(Bytes));
    });
  }

  peer_traffic traffic() const {
    return {Counters.FramesSent,     Counters.BytesSent,
            Counters.FramesReceived, Counters.BytesReceived,
            Counters.FramesDropped,  Counters.BadFrames};
  }

private:
  void accept() {
    Acceptor.async_accept([this](std::error_code Code, tcp::socket Socket) {
      if (Code == asio::error::operation_aborted)
        return;
      if (!Code && Totals->Connections < InboundConnectionLimit)
        std::make_shared<inbound_connection>(std::move(Socket), Receiver,
                                             Counters, Totals)
            ->readPrefix();
      accept();
    });
  }

  void
  updateOutboundConnections(const std::map<vm_id, network_address> &Peers) {
    for (auto It = OutboundConnections.begin();
         It != OutboundConnections.end();) {
      auto Found = Peers.find(It->first);
      if (Found != Peers.end() && Found->second == It->second->address()) {
        ++It;
        continue;
      }
      It->second->close();
      It = OutboundConnections.erase(It);
    }
    for (const auto &[Vm, Address] : Peers)
      if (!OutboundConnections.contains(Vm))
        OutboundConnections[Vm] =
            std::make_shared<outbound_connection>(Context, Address, Counters);
  }

  const vm_id Self;
  const std::uint64_t Incarnation;
  const peer_receiver Receiver;
  traffic_counters Counters;
  std::shared_ptr<inbound_totals> Totals = std::make_shared<inbound_totals>();
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::map<vm_id, std::shared_ptr<outbound_connection>> OutboundConnections;
  std::thread NetworkThread;
};

tcp_peer_network::tcp_peer_network(std::shared_ptr<network_state> State)
    : State(std::move(State)) {}

tcp_peer_network::~tcp_peer_network() { State->stop(); }

result<std::unique_ptr<tcp_peer_network>>
tcp_peer_network::listen(const network_address &Address, vm_id Self,
                         std::uint64_t Incarnation, peer_receiver Receiver) {
  auto State = std::make_shared<network_state>(std::move(Self), Incarnation,
                                               std::move(Receiver));
  if (!State->bind(Address))
    return error{error_code::Unavailable,
                 "cannot listen on " + Address.text() +
                     ": the address is in use or not assigned to this VM"};
  State->start();
  return std::unique_ptr<tcp_peer_network>(
      new tcp_peer_network(std::move(State)));
}

void tcp_peer_network::setPeers(const std::map<vm_id, network_address> &Peers) {
  State->setPeers(Peers);
}

void tcp_peer_network::send(const vm_id &To, peer_message Message) {
  State->send(To, std::move(Message));
}

peer_traffic tcp_peer_network::traffic() const { return State->traffic(); }

} // namespace azurehaven
