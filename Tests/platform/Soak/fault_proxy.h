#pragma once

#include "LibTypes/network_address.h"
#include "LibTypes/result.h"
#include "LibTypes/units.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <memory>

namespace azurehaven::platform {

enum class link_fault {
  None,
  /// Every chunk is forwarded after a delay.
  Delay,
  /// Open and new connections are reset.
  Reset,
  /// Bytes from the connecting side are forwarded, responses are dropped.
  DropResponses,
  /// Nothing is forwarded, connections stay open.
  Silence,
  /// The last bytes of a response come again as the next request begins.
  RepeatResponses,
};

/// The faults of one link; may be changed from any thread.
struct link_condition {
  std::atomic<link_fault> Fault = link_fault::None;
  /// While held, bytes and ends are kept back; none is lost.
  std::atomic<bool> IsHeld = false;
};

/// TCP proxy between two loopback addresses that injects faults. Runs on one
/// event loop.
class fault_proxy {
public:
  static result<std::unique_ptr<fault_proxy>>
  listen(asio::io_context &Loop, const network_address &From,
         const network_address &To);

  link_condition &condition() { return *Link; }

private:
  fault_proxy(asio::io_context &Loop, const network_address &To);
  void accept();

  asio::ip::tcp::acceptor Acceptor;
  const network_address To;
  const std::shared_ptr<link_condition> Link;
};

} // namespace azurehaven::platform
