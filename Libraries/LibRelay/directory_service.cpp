#include "LibRelay/directory_service.h"

namespace azurehaven {

namespace {

/// Short, so that callers soon stop using a VM that is stopping or has failed.
constexpr milliseconds DirectoryTimeToLive{1000};
constexpr std::size_t MaxAddresses = 64;

} // namespace

bool isReadyForCallers(const fleet_state &Fleet, steady_time Now) {
  return Fleet.Routes && !Fleet.IsStopping && Fleet.Confirmation.isCurrent(Now);
}

directory_response buildDirectoryResponse(const fleet_state &Fleet,
                                          const network_address &OwnAddress,
                                          steady_time Now) {
  directory_response Response;
  Response.TimeToLive = DirectoryTimeToLive;
  const bool IsReady = isReadyForCallers(Fleet, Now);
  if (IsReady)
    Response.Addresses.push_back(OwnAddress);
  for (const auto &Member : Fleet.Members.all()) {
    if (Member.Vm == Fleet.Self || Response.Addresses.size() >= MaxAddresses)
      continue;
    Response.Addresses.push_back(Member.CallerAddress);
  }
  // A VM that refuses with a Retry-After is more useful than an empty list.
  if (Response.Addresses.empty())
    Response.Addresses.push_back(OwnAddress);
  return Response;
}

} // namespace azurehaven
