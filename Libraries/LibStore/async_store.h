#pragma once

#include "LibTypes/result.h"
#include "LibTypes/store_revision.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace azurehaven {

/// The keys that start with a prefix and follow After in byte order.
struct key_range {
  std::string Prefix;
  std::string After;

  bool contains(const std::string &Key) const {
    return Key.starts_with(Prefix) && Key > After;
  }
};

struct store_item {
  std::string Key;
  std::string Value;
  /// Of the last write to the key; increases with each write in the store.
  store_revision Revision;
  store_lease Lease;
};

struct range_result {
  std::vector<store_item> Items;
  /// The store's revision when the first page was read. Later pages may contain
  /// newer writes, which a watch from this revision reports again.
  store_revision Revision;
};

struct store_change {
  std::string Key;
  store_revision Revision;
  /// Nullopt if the key was removed.
  std::optional<store_item> Item;
};

struct store_changes {
  std::vector<store_change> Changes;
  /// The revision from which the next watch continues.
  store_revision Revision;
};

/// The store no longer has the changes after the requested revision, or was
/// restored from an older copy since.
struct history_compacted {};

using watch_outcome = std::variant<store_changes, history_compacted, error>;

struct store_condition {
  std::string Key;
  /// Required revision of the key; an absent one if it must not exist.
  store_revision Revision;
};

struct store_put {
  std::string Key;
  std::string Value;
  store_lease Lease;
};

/// Atomic: takes effect if all conditions hold.
struct store_transaction {
  std::vector<store_condition> Conditions;
  std::vector<store_put> Puts;
  std::vector<std::string> Removals;
};

template <typename T> using store_handler = std::function<void(result<T>)>;

/// The platform's key-value service for event-driven code. Each handler is
/// called once, on the event loop. Errors: Conflict (a condition failed, or
/// names a revision of an earlier era), NotFound (no such lease in this era),
/// Unavailable (the call took no effect), OutcomeUnknown (it may have taken
/// effect, or may still, or took effect just before the store was restored from
/// an older copy).
class async_store {
public:
  virtual ~async_store() = default;

  /// All items of the range, linearizable.
  virtual void readRange(const key_range &Keys,
                         store_handler<range_result> Handler) = 0;
  /// Reports the changes after a revision, or no changes if none occurs within
  /// Wait.
  virtual void watch(const std::string &Prefix, store_revision After,
                     milliseconds Wait,
                     std::function<void(watch_outcome)> Handler) = 0;
  virtual void commit(store_transaction Transaction,
                      store_handler<store_revision> Handler) = 0;
  virtual void grantLease(milliseconds TimeToLive,
                          store_handler<store_lease> Handler) = 0;
  virtual void renewLease(store_lease Lease,
                          store_handler<success> Handler) = 0;
  virtual void endLease(store_lease Lease, store_handler<success> Handler) = 0;
  /// Sets the function to call when a response shows that the store was
  /// restored from an older copy. It is called before that response's handler.
  virtual void setRestorationHandler(std::function<void()> Handler) = 0;
  /// The store's own number of its present era, the same for all processes;
  /// nullopt if it has named none.
  virtual std::optional<std::uint64_t> reportedEra() const = 0;
};

} // namespace azurehaven
