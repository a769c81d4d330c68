#include "LibConnection/connection_pool.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Longest idle time that counts as recent use: an endpoint does not close a
/// connection within this time after a response.
constexpr milliseconds RecentUseLimit{400};
/// Idle connections kept for one endpoint; beyond it the oldest are closed.
constexpr std::size_t MaxIdleConnectionsPerEndpoint = 64;

} // namespace

connection_pool::connection_pool(asio::any_io_executor Executor,
                                 connection_timeouts Timeouts)
    : Executor(std::move(Executor)), Timeouts(Timeouts) {}

std::shared_ptr<endpoint_connection>
connection_pool::acquire(const network_address &Address, connection_reuse Reuse,
                         steady_time Now) {
  auto &Connections = Idle[Address];
  while (!Connections.empty()) {
    idle_connection Newest = std::move(Connections.back());
    if (!Newest.Connection->isIdle() || Newest.ExpiresAt <= Now) {
      Newest.Connection->abort();
      Connections.pop_back();
      continue;
    }
    if (Reuse == connection_reuse::RecentlyUsed &&
        Now - Newest.IdleSince > RecentUseLimit) {
      Connections.back() = std::move(Newest);
      break;
    }
    Connections.pop_back();
    return Newest.Connection;
  }
  ++Opened;
  return std::make_shared<endpoint_connection>(Executor, Address, Timeouts,
                                               Now);
}

void connection_pool::release(std::shared_ptr<endpoint_connection> Connection,
                              milliseconds IdleLimit, steady_time Now) {
  if (!Connection->isIdle())
    return;
  auto &Connections = Idle[Connection->address()];
  Connections.push_back({std::move(Connection), Now, Now + IdleLimit});
  if (Connections.size() <= MaxIdleConnectionsPerEndpoint)
    return;
  Connections.front().Connection->abort();
  Connections.pop_front();
}

void connection_pool::closeExpired(steady_time Now) {
  for (auto It = Idle.begin(); It != Idle.end();) {
    std::erase_if(It->second, [&](const idle_connection &Entry) {
      const bool IsExpired =
          Entry.ExpiresAt <= Now || !Entry.Connection->isIdle();
      if (IsExpired)
        Entry.Connection->abort();
      return IsExpired;
    });
    It = It->second.empty() ? Idle.erase(It) : std::next(It);
  }
}

void connection_pool::closeIdleConnections(const network_address &Address) {
  auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return;
  for (auto &Entry : Found->second)
    Entry.Connection->abort();
  Idle.erase(Found);
}

std::size_t connection_pool::idleCount() const {
  std::size_t Count = 0;
  for (const auto &[Address, Connections] : Idle)
    Count += Connections.size();
  return Count;
}

} // namespace azurehaven
