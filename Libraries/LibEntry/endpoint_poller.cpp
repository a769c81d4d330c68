#include "LibEntry/endpoint_poller.h"

#include "LibEntry/engine_attempt.h"

#include <thread>

namespace azurehaven {

namespace {

constexpr milliseconds ReportMaximumAge{500};
constexpr milliseconds ReportTimeout{400};
/// Endpoints asked at a time, so that one that hangs delays few others.
constexpr std::size_t ParallelQuestions = 8;

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
  const auto Work = [&] {
    for (std::size_t Index = Next++; Index < Due.size(); Index = Next++)
      askOne(Due[Index]);
  };
  std::vector<std::thread> Helpers;
  for (std::size_t Count = 1; Count < std::min(ParallelQuestions, Due.size());
       ++Count)
    Helpers.emplace_back(Work);
  Work();
  for (auto &Helper : Helpers)
    Helper.join();
  if (HadList)
    HasReports = true;
}

void endpoint_poller::askOne(const chosen_endpoint &Endpoint) {
  const steady_time AskedAt = Services.Clock.now();
  auto Report =
      fetchEndpointReport(Services.Transport, Endpoint.Address, ReportTimeout);
  if (isError(Report))
    Services.Router.recordEndpointPollFailure(Endpoint.Id,
                                              Services.Clock.now());
  else
    Services.Router.updateEndpointReport(Endpoint.Id, valueOf(Report), AskedAt);
}

} // namespace azurehaven
