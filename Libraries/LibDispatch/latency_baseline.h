#pragma once

#include "LibTypes/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace azurehaven {

/// The usual pace of answers by route and model: the pause between events of a
/// stream, the whole time of a plain answer. Not thread-safe.
class latency_baseline {
public:
  void add(const std::string &Route, const model_id &Model, double Ms);
  /// Whether an answer was several times slower than usual.
  bool isSlow(const std::string &Route, const model_id &Model, double Ms) const;

private:
  struct average {
    double MeanMs = 0;
    std::uint32_t Count = 0;
  };
  std::map<std::pair<std::string, model_id>, average> Averages;
};

} // namespace azurehaven
