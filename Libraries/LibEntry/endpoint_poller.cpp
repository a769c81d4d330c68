#include "LibEntry/endpoint_poller.h"

#include "LibEntry/engine_attempt.h"

#include <thread>

namespace azurehaven {

namespace {

constexpr milliseconds ReportMaximumAge{500};
constexpr milliseconds ReportTimeout{400};
/// Several at a time, so that an endpoint that hangs delays few others.
constexpr std::size_t MaximumParallelPolls = 8;

} // namespace

bool endpoint_poller::refreshList() {
  auto Lines = List.fetch();
  if (isError(Lines)) {
    Services.Metrics.increment("azurehaven_vm_list_failures_total");
    return false;
  }
  const steady_time Now = Services.Clock.now();
  Services.Members.applyList(valueOf(Lines), Now);
  Services.Router.applyList(valueOf(Lines),
                            Services.Members.servingEntryCount(Now));
  HasList = true;
  return true;
}

void endpoint_poller::refreshReports() {
  const bool HadList = HasList;
  const auto Due = Services.Router.endpointsDueForPoll(ReportMaximumAge,
                                                       Services.Clock.now());
  std::atomic<std::size_t> Next = 0;
  const auto PollRemaining = [&] {
    for (std::size_t Index = Next++; Index < Due.size(); Index = Next++)
      pollEndpoint(Due[Index]);
  };
  std::vector<std::thread> Threads;
  for (std::size_t Count = 1;
       Count < std::min(MaximumParallelPolls, Due.size()); ++Count)
    Threads.emplace_back(PollRemaining);
  PollRemaining();
  for (auto &Thread : Threads)
    Thread.join();
  if (HadList)
    HasReports = true;
  logPathChange();
}

void endpoint_poller::logPathChange() {
  const bool ReachesNone = Services.Router.reachesNoEndpoint();
  if (std::exchange(HasLostPath, ReachesNone) == ReachesNone)
    return;
  Services.Log.write(
      ReachesNone ? log_level::Warning : log_level::Info,
      ReachesNone ? "endpoint_path_lost" : "endpoint_path_regained", {});
}

void endpoint_poller::pollEndpoint(const chosen_endpoint &Endpoint) {
  const steady_time RequestedAt = Services.Clock.now();
  auto Report = fetchEndpointReport(Services.Transport, Endpoint.Address,
                                    ReportTimeout, connection_use::Pooled);
  if (isError(Report))
    Services.Router.recordEndpointPollFailure(Endpoint.Id,
                                              Services.Clock.now());
  else
    Services.Router.updateEndpointReport(Endpoint.Id, valueOf(Report),
                                         RequestedAt);
}

} // namespace azurehaven
