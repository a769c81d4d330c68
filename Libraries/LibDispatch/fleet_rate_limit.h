#pragma once

#include "LibTypes/units.h"

#include <cstddef>
#include <optional>

namespace azurehaven {

/// What an endpoint has said about the rate that it accepts from all VMs
/// together, as one VM tells another.
struct rate_statement {
  /// Requests per second; nullopt if the endpoint no longer names a limit.
  std::optional<double> PerSecond;
  /// When the VM that asked received it.
  steady_time At;
};

/// A limit on the requests per second that an endpoint accepts from all VMs
/// together, and this VM's part of it. A few VMs, the holders, share the rate
/// evenly; the others send the endpoint nothing, so that the sum holds without
/// any message between them. Not thread-safe.
class fleet_rate_limit {
public:
  /// Number of VMs that share a rate. All of them together may send at most one
  /// request each at the same moment, and the rate after that.
  static std::size_t holderCount(double PerSecond, std::size_t VmCount);

  /// Takes what a response says. A response to a request that was sent before
  /// the limit was known does not end the limit.
  void observe(std::optional<double> PerSecond, steady_time RequestSentAt,
               steady_time Now);
  /// Takes what another VM has observed, unless this VM knows something newer.
  void merge(const rate_statement &Statement, steady_time Now);
  /// Sets the part of the rate that this VM may use, 0 to 1.
  void setShare(double NewShare, steady_time Now);

  bool isLimited() const { return Latest.PerSecond.has_value(); }
  /// The latest statement; its time is the epoch if there has been none.
  const rate_statement &latest() const { return Latest; }
  /// Whether this VM may send one more request now.
  bool allows(steady_time Now) const;
  /// Counts a request that is sent now, whether it was allowed or not.
  void consume(steady_time Now);
  /// When this VM may send the next request; nullopt if it has no share.
  std::optional<steady_time> nextAdmission(steady_time Now) const;

private:
  void begin(double PerSecond, steady_time Now);
  void refill(steady_time Now);
  /// This VM's requests per second.
  double ownRate() const;
  double capacity() const;
  double tokensAt(steady_time Now) const;

  rate_statement Latest;
  steady_time LimitedSince;
  double Share = 0;
  double Tokens = 0;
  steady_time RefilledAt;
};

} // namespace azurehaven
