#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/store_revision.h"
#include "LibTypes/units.h"

#include <string>

namespace azurehaven {

/// An operator's order to move a service's traffic to a new release.
struct rollout_order {
  service_id Service;
  std::string Target;
  milliseconds TimeLimit{0};
  store_revision Revision;
};

/// Where an order was read from.
enum class order_origin {
  /// The operator has written it.
  Written,
  /// The operator may have written it again, just after the store was restored
  /// from an older copy.
  MaybeRepeated,
  /// It may come from the copy from which the store was restored.
  MaybeCopied,
};

} // namespace azurehaven
