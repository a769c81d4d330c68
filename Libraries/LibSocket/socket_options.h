#pragma once

#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <asio/ip/tcp.hpp>

#include <chrono>

namespace azurehaven {

/// Sets the options of a connection between VMs: TCP_NODELAY, and
/// TCP_USER_TIMEOUT, which fails the connection if sent bytes stay
/// unacknowledged for UserTimeout.
void setConnectionOptions(asio::ip::tcp::socket &Socket,
                          milliseconds UserTimeout);

/// Probes the connection while it carries no bytes, so that the loss of the
/// path is noticed although nothing is sent. Idle: time until the first probe
/// and between probes. Raises a shorter TCP_USER_TIMEOUT to the time of the
/// last probe, as it would end the connection before that.
void setKeepAlive(asio::ip::tcp::socket &Socket, std::chrono::seconds Idle);
/// Closes the connection with a TCP reset, so that the peer detects the close
/// even if it hasn't read all bytes sent before.
void resetConnection(asio::ip::tcp::socket &Socket);

/// Returns the address 0.0.0.0 if Host is not a valid address.
asio::ip::tcp::endpoint socketAddress(const network_address &Address);

} // namespace azurehaven
