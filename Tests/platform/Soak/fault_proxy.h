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
  /// Every piece waits before it goes on.
  Delay,
  /// Open connections are reset, new ones too.
  Reset,
  /// What the connecting side sends goes on, answers are dropped.
  DropResponses,
  /// Nothing goes on, connections stay open.
  Silence,
};

/// Passes connections on from one loopback address to another, with faults.
/// The fault may be set from any thread; the rest lives on one event loop.
class fault_proxy {
public:
  static result<std::unique_ptr<fault_proxy>>
  listen(asio::io_context &Loop, const network_address &From,
         const network_address &To);

  void setFault(link_fault Fault) { *this->Fault = Fault; }

private:
  fault_proxy(asio::io_context &Loop, const network_address &To);
  void accept();

  asio::ip::tcp::acceptor Acceptor;
  const network_address To;
  const std::shared_ptr<std::atomic<link_fault>> Fault;
};

} // namespace azurehaven::platform
