#include "LibDispatch/crash_sequence.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// What ends many endpoints does not end all at the same moment, and a request
/// that is sent again at once may go to the next of them.
constexpr milliseconds LongestCommonEnd{10};

} // namespace

std::size_t countIndependent(std::vector<crash_time> Crashes) {
  std::sort(Crashes.begin(), Crashes.end(),
            [](const crash_time &Left, const crash_time &Right) {
              return Left.At < Right.At;
            });
  // Taking the earliest end first selects the most disjoint intervals.
  std::size_t Count = 0;
  steady_time LastAt = steady_time::min();
  for (const crash_time &Crash : Crashes) {
    const bool IsCertain = Crash.CoincidenceTime.count() == 0;
    const bool IsLater = Count == 0 || Crash.At - Crash.CoincidenceTime >=
                                           LastAt + LongestCommonEnd;
    if (!IsCertain && !IsLater)
      continue;
    ++Count;
    LastAt = Crash.At;
  }
  return Count;
}

std::size_t countIndependentCrashes(const std::vector<crash_record> &Records) {
  std::vector<crash_time> Crashes;
  for (const crash_record &Record : Records)
    Crashes.emplace_back(Record.At, Record.CoincidenceTime);
  return countIndependent(std::move(Crashes));
}

} // namespace azurehaven
