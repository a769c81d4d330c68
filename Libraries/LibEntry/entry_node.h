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

  /// A planned stop: announces itself, serves on until no caller can hold an
  /// address list with this VM any more, lets every request end, and leaves no
  /// bill behind that only this VM holds.
  virtual void drain() = 0;
};

} // namespace azurehaven
