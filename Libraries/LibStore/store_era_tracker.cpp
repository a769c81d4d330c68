#include "LibStore/store_era_tracker.h"

namespace azurehaven {

era_verdict store_era_tracker::onResponse(std::optional<std::uint64_t> Reported,
                                          store_era SentIn) {
  if (!Reported)
    return SentIn == Era ? era_verdict::Current : era_verdict::Outdated;
  if (!ReportedEra)
    ReportedEra = Reported;
  if (*Reported == *ReportedEra)
    return era_verdict::Current;
  // The reported numbers are compared for equality only: a request that was
  // sent after the last change can't get a response from before it, and a
  // single malformed number must not make every later one look old.
  if (SentIn != Era)
    return era_verdict::Outdated;
  ReportedEra = Reported;
  ++Era.Number;
  return era_verdict::Restored;
}

} // namespace azurehaven
