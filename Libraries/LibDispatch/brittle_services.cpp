#include "LibDispatch/brittle_services.h"

namespace azurehaven {

bool brittle_services::observe(const service_id &Service,
                               std::optional<double> PerSecond,
                               steady_time RequestSentAt, steady_time Now) {
  auto Known = Statements.find(Service);
  if (Known == Statements.end() && !PerSecond)
    return false;
  rate_statement &Latest = Statements[Service];
  // A response may have been under way for longer than one of another endpoint.
  const bool IsOutdated = !PerSecond && RequestSentAt <= Latest.At;
  if (IsOutdated)
    return false;
  const bool IsNews = Latest.PerSecond != PerSecond;
  if (IsNews || PerSecond)
    Latest = {PerSecond, Now};
  return IsNews;
}

void brittle_services::merge(const service_id &Service,
                             const rate_statement &Statement) {
  rate_statement &Latest = Statements[Service];
  if (Statement.At > Latest.At)
    Latest = Statement;
}

std::optional<double>
brittle_services::toleranceOf(const service_id &Service) const {
  auto Known = Statements.find(Service);
  return Known == Statements.end() ? std::nullopt : Known->second.PerSecond;
}

} // namespace azurehaven
