#include "LibFleet/store_restoration.h"

namespace azurehaven {

namespace {

/// Time within which writers notice a restoration and repeat their writes; the
/// same as for leases that expired during an outage.
constexpr milliseconds RepeatTime{2000};

} // namespace

void store_restoration::onRestored(store_revision NewCopyEnd, steady_time Now) {
  CopyEnd = NewCopyEnd;
  RestoredAt = Now;
  IsConfigurationWritten = false;
}

bool store_restoration::mayComeFromCopy(store_revision Revision) const {
  return RestoredAt && Revision <= CopyEnd;
}

bool store_restoration::isSettled(steady_time Now) const {
  return !RestoredAt || Now - *RestoredAt >= RepeatTime;
}

bool store_restoration::isConfigurationCurrent(steady_time ConfirmedAt) const {
  // A process that knows no version from before can't tell whether one that the
  // operators write is the newest one or one on their way to it.
  const bool IsFirstReadDoubtful =
      FirstReadAt && ConfirmedAt - *FirstReadAt < RepeatTime;
  if (IsFirstReadDoubtful)
    return false;
  return IsConfigurationWritten || isSettled(ConfirmedAt);
}

} // namespace azurehaven
