#pragma once

#include "LibDispatch/dispatch_request.h"

#include <compare>
#include <cstdint>
#include <string>

namespace azurehaven {

/// Requests with the same path, account and body, at the same host.
struct request_family {
  std::uint64_t Hash = 0;

  /// The range of hashes by all fields that its requests have.
  std::uint64_t firstExact() const;
  std::uint64_t lastExact() const;
  auto operator<=>(const request_family &) const =
      default; // NOLINT(readability-identifier-naming)
};

/// Names a request twice: by what a caller's resend certainly has in common
/// with it, and by all fields that tell it from other requests. The hash of one
/// request by all its fields begins with bits that stand for its family, so
/// that the records of a family are neighbours.
class request_fingerprint {
public:
  request_fingerprint() = default;
  /// Content: hash of path, account and body. Details: hash of the other
  /// fields.
  request_fingerprint(std::uint64_t Content, std::uint64_t Host,
                      std::uint64_t Details);

  /// Hash of path, account and body.
  std::uint64_t content() const { return Content; }
  /// Hash of all fields.
  std::uint64_t exact() const { return Exact; }
  request_family family() const { return familyOf(Exact); }

  static request_family familyOf(std::uint64_t Exact);
  /// The range of hashes by all fields that requests with this content have.
  static std::uint64_t firstExactOf(std::uint64_t Content);
  static std::uint64_t lastExactOf(std::uint64_t Content);

  bool operator==(const request_fingerprint &) const = default;

private:
  std::uint64_t Content = 0;
  std::uint64_t Exact = 0;
};

/// The fingerprint of a request for quarantines. The request's id, deadline,
/// session and key may differ in a resend, as may fields that are only passed
/// on, and are left out.
request_fingerprint fingerprintOf(const dispatch_request &Request,
                                  const client_account_id &Account,
                                  const std::string &Body);

} // namespace azurehaven
