#pragma once

#include "LibEntry/entry_settings.h"
#include "LibTypes/result.h"

#include <memory>

namespace azurehaven {

/// One running entry process: its listeners, tables and background tasks.
class entry_node {
public:
  /// Returns Unavailable when a listener can't be opened.
  static result<std::unique_ptr<entry_node>> start(entry_settings Settings);
  virtual ~entry_node() = default;

  /// Shuts down gracefully: announces that this VM is leaving, serves until no
  /// caller can have a cached discovery response with this VM in it, waits for
  /// all requests, and stores every bill that only this VM holds. Blocks.
  virtual void drain() = 0;
};

} // namespace azurehaven
