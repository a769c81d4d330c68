#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurehaven {

enum class route_kind { Idempotent, NonIdempotent, Stream };

struct model_pricing {
  model_id Model;
  /// Cost of 1,000 generated tokens, in the unit that the operators use.
  double CostPerThousandTokens = 0;
};

/// Configuration of a pool whose endpoints are model engines.
struct engine_pool_settings {
  std::uint32_t BatchSlots = 1;
  std::uint64_t CacheTokens = 0;
  std::vector<model_pricing> Models;
};

/// A set of endpoints that serve the same requests.
struct endpoint_pool {
  service_id Service;
  /// Maximum connections to one endpoint from all VMs together.
  std::uint32_t ConnectionLimit = 64;
  std::optional<engine_pool_settings> Engine;

  double costPerThousandTokens(const model_id &Model) const;
};

struct weighted_pool {
  service_id Service;
  double Weight = 1;
};

struct route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  route_kind Kind = route_kind::NonIdempotent;
  milliseconds Timeout{0};
  /// Latency objective for the response, or for the first event of a stream.
  milliseconds LatencyObjective{0};
  /// Latency objective for the time between two events of a stream.
  milliseconds EventGapObjective{0};
  /// 0 is the most urgent.
  int Priority = 5;
  /// Maximum number of attempts that may have been executed.
  int MaxAttempts = 1;
  /// Whether requests need no API key.
  bool IsPublic = false;
  /// Whether a stream may be resumed at another endpoint.
  bool IsResumable = false;
  /// Models that may serve a request, smallest first; empty if the caller
  /// selects the model.
  std::vector<model_id> ModelsBySize;
  /// The pools among which the requests are divided by weight.
  std::vector<weighted_pool> Shares;

  /// Whether a request may be executed more than once.
  bool allowsReexecution() const {
    return Kind == route_kind::Idempotent ||
           (Kind == route_kind::Stream && IsResumable);
  }
};

struct caller_account {
  client_account_id Account;
  std::optional<int> Priority;
};

/// Size and time limits for incoming requests.
struct request_limits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4 << 20;
  milliseconds HeaderTimeout{3000};
  milliseconds IdleTimeout{15000};
};

/// An immutable configuration, replaced as a whole.
class route_table {
public:
  struct content {
    std::uint64_t Version = 0;
    std::vector<route> Routes;
    std::vector<endpoint_pool> Pools;
    /// Accounts by API key; empty if callers need no key.
    std::unordered_map<std::string, caller_account> AccountsByKey;
    bool NeedsKeys = false;
    request_limits Limits;
  };

  explicit route_table(content Content);
  route_table(const route_table &) = delete;
  route_table &operator=(const route_table &) = delete;

  std::uint64_t version() const { return Content.Version; }
  /// The host's route with the longest prefix of the path; null if none
  /// matches.
  const route *match(const std::string &Host, const std::string &Path) const;
  const caller_account *accountOf(const std::string &Key) const;
  const endpoint_pool *pool(const service_id &Service) const;
  bool needsKeys() const { return Content.NeedsKeys; }
  const request_limits &limits() const { return Content.Limits; }
  const std::vector<route> &routes() const { return Content.Routes; }

private:
  content Content;
  std::unordered_map<std::string, std::vector<const route *>> ByHost;
  std::map<service_id, const endpoint_pool *> ByService;
};

} // namespace azurehaven
