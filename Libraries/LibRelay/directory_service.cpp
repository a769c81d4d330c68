#include "LibRelay/directory_service.h"

namespace azurehaven {

namespace {

/// Short, so that callers leave a VM that stops or dies soon.
constexpr milliseconds KeepAnswer{1000};
constexpr std::size_t MostAddresses = 64;

} // namespace

bool isReadyForCallers(const fleet_state &Fleet, steady_time Now) {
  return Fleet.Routes && !Fleet.IsStopping && Fleet.Confirmation.isCurrent(Now);
}

directory_response buildDirectoryResponse(const fleet_state &Fleet,
                                          const network_address &OwnAddress,
                                          steady_time Now) {
  directory_response Answer;
  Answer.TimeToLive = KeepAnswer;
  const bool IsReady = isReadyForCallers(Fleet, Now);
  if (IsReady)
    Answer.Addresses.push_back(OwnAddress);
  for (const auto &Member : Fleet.Members.all()) {
    if (Member.Vm == Fleet.Self || Answer.Addresses.size() >= MostAddresses)
      continue;
    Answer.Addresses.push_back(Member.CallerAddress);
  }
  // Better a VM that refuses with a time to come back than no answer.
  if (Answer.Addresses.empty())
    Answer.Addresses.push_back(OwnAddress);
  return Answer;
}

} // namespace azurehaven
