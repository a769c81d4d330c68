#pragma once

#include "LibRelay/admitted_request.h"
#include "LibRelay/fleet_state.h"
#include "LibRelay/relayed_attempt.h"

namespace azurehaven {

/// The model that the attempts of one request ask for. Empty if the caller has
/// named it or the route has none.
class model_selection {
public:
  model_selection(const fleet_state &Fleet, const admitted_request &Admitted)
      : Fleet(Fleet), Admitted(Admitted) {}

  /// Selects the model that responds first, unless one is selected.
  void selectFirst(steady_time Now);
  void select(std::size_t Index);
  /// The larger model that has to respond instead; nullopt if a response of
  /// this confidence is accepted. Backlog: see model_cascade::escalate().
  std::optional<std::size_t> largerModelFor(int Confidence,
                                            milliseconds Backlog) const;

  const attempt_model &current() const { return Model; }
  bool isSelected() const { return Model.Index.has_value(); }
  /// Whether the route has a larger model.
  bool isSmall() const;
  /// Mean time that an engine needs for its pending prompts.
  milliseconds backlog(steady_time Now) const;

private:
  const fleet_state &Fleet;
  const admitted_request &Admitted;
  attempt_model Model;
};

} // namespace azurehaven
