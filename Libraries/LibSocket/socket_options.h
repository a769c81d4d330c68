#pragma once

#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <asio/ip/tcp.hpp>

namespace azurehaven {

/// Options for connections between VMs: no delay of small packets, and an
/// error when sent bytes stay unacknowledged for this long.
void setConnectionOptions(asio::ip::tcp::socket &Socket,
                          milliseconds SilenceLimit);

/// Closes with a reset, so that the peer learns of it even when unread bytes
/// are under way.
void resetConnection(asio::ip::tcp::socket &Socket);

asio::ip::tcp::endpoint socketAddress(const network_address &Address);

} // namespace azurehaven
