#include "LibRelay/model_selection.h"

#include "LibRelay/request_placement.h"

namespace azurehaven {

void model_selection::selectFirst(steady_time Now) {
  const bool IsFree = Admitted.Request.acceptsAnyModel() &&
                      !Admitted.Route->ModelsBySize.empty();
  if (IsFree && !isSelected())
    select(Fleet.Models.firstModel(*Admitted.Route, backlog(Now)));
}

void model_selection::select(std::size_t Index) {
  Model.Index = Index;
  Model.Id = Admitted.Route->ModelsBySize[Index];
}

std::optional<std::size_t>
model_selection::largerModelFor(int Confidence, milliseconds Backlog) const {
  return Fleet.Models.escalate(*Admitted.Route, Admitted.Request, *Model.Index,
                               Confidence, Backlog);
}

bool model_selection::isSmall() const {
  return Model.Index && *Model.Index + 1 < Admitted.Route->ModelsBySize.size();
}

milliseconds model_selection::backlog(steady_time Now) const {
  return estimatedBacklog(Fleet, Admitted.Service, Now);
}

} // namespace azurehaven
