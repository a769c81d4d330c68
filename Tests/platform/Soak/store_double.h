#pragma once

#include "LibServer/http_server.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

namespace azurehaven::platform {

/// In-memory double of the platform's key-value store, over HTTP. Thread-safe.
class store_double {
public:
  served_response serve(const served_request &Request);

  /// Writes a key outside any lease, as operators and endpoints do; returns the
  /// revision.
  std::uint64_t put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// The values of all keys under a prefix, by key.
  std::map<std::string, std::string> values(const std::string &Prefix);

  /// Keeps the present contents as the copy for restore().
  void makeCopy();
  /// Goes back to the copy in a new era: writes since then and all leases
  /// granted since are gone, and revision numbers are given out again.
  void restore();
  /// Writes again what put() and remove() have changed since the copy.
  void repeatOutsideWrites();

  /// Responds with 503 to every call; leases continue to expire.
  std::atomic<bool> IsDown = false;
  /// Applies writes but closes the connection instead of responding.
  std::atomic<bool> DropsResponses = false;

private:
  struct item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Lease = 0;
  };
  struct change {
    std::uint64_t Revision = 0;
    std::string Key;
    /// Absent for a removal.
    std::optional<item> Item;
  };
  struct lease {
    milliseconds TimeToLive{0};
    steady_time EndsAt;
  };

  struct copy {
    std::uint64_t Revision = 1;
    std::uint64_t NextLease = 1;
    std::map<std::string, item> Items;
    std::map<std::uint64_t, lease> Leases;
  };
  struct outside_write {
    std::string Key;
    /// Absent for a removal.
    std::optional<std::string> Value;
  };

  served_response respondTo(const served_request &Request);
  served_response range(const served_request &Request);
  served_response watch(const served_request &Request);
  served_response commit(const served_request &Request);
  served_response grantLease(const served_request &Request);
  served_response keepLease(std::uint64_t Id);
  served_response endLease(std::uint64_t Id);
  void write(const std::string &Key, item Item);
  void erase(const std::string &Key);
  void dropLease(std::uint64_t Id);
  void expireLeases();
  static nlohmann::json describe(const std::string &Key, const item &Item);

  std::mutex Mutex;
  std::condition_variable HasChanged;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 1;
  std::map<std::string, item> Items;
  std::vector<change> History;
  std::map<std::uint64_t, lease> Leases;
  std::uint64_t Era = 1;
  copy Copy;
  std::vector<outside_write> OutsideWrites;
};

} // namespace azurehaven::platform
