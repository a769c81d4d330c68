#include "LibRelay/path_watch.h"

#include "LibDispatch/endpoint_health.h"

namespace azurehaven {

namespace {

std::string textOf(const std::vector<endpoint_id> &Endpoints) {
  std::string Text;
  for (const endpoint_id &Endpoint : Endpoints)
    Text += (Text.empty() ? "" : ",") + Endpoint.text();
  return Text;
}

void reportLoss(relay_context &Context, const service_id &Service,
                const path_change &Change) {
  Context.Metrics.increment("azurehaven_path_losses_total");
  Context.Log.write(
      log_level::Warning, "service_path_lost",
      {{"service", Service.text()},
       {"unreachable", textOf(Change.Endpoints)},
       {"reached_by", Change.Witness.text()},
       {"reached_ms_ago", std::to_string(Change.WitnessAge.count())}});
}

} // namespace

void recordUnreachable(relay_context &Context, const endpoint_record &Endpoint,
                       steady_time Now) {
  const service_id &Service = Endpoint.Descriptor.Service;
  const auto Change = Context.Fleet.Paths.onUnreachable(
      Service, processStartId(Endpoint.Descriptor),
      Context.Fleet.Endpoints.endpointsOf(Service).size(), Now);
  if (Change)
    reportLoss(Context, Service, *Change);
}

void recordUnanswered(relay_context &Context, const endpoint_record &Endpoint,
                      steady_time StartedAt, steady_time Now) {
  const service_id &Service = Endpoint.Descriptor.Service;
  const auto Change = Context.Fleet.Paths.onUnanswered(
      Service, processStartId(Endpoint.Descriptor),
      Context.Fleet.Endpoints.endpointsOf(Service).size(), StartedAt, Now);
  if (Change)
    reportLoss(Context, Service, *Change);
}

void reviewPaths(relay_context &Context, steady_time Now) {
  for (const service_id &Service : Context.Fleet.Paths.suspectedServices()) {
    const auto Change = Context.Fleet.Paths.review(
        Service, Context.Fleet.Endpoints.endpointsOf(Service).size(), Now);
    if (Change)
      reportLoss(Context, Service, *Change);
  }
}

void recordReceived(relay_context &Context, const endpoint_record &Endpoint,
                    steady_time Now) {
  Context.Fleet.Paths.onReceived(Endpoint.Descriptor.Service,
                                 Endpoint.StartHash, Now);
}

void recordConnected(relay_context &Context, const endpoint_record &Endpoint,
                     steady_time Now) {
  Context.Fleet.Paths.onConnected(Endpoint.Descriptor.Service, Now);
}

void recordProbe(relay_context &Context, const service_id &Service,
                 const endpoint_id &Endpoint, bool IsReachable,
                 steady_time Now) {
  const auto LostSince = Context.Fleet.Paths.lostSince(Service);
  const auto Change =
      Context.Fleet.Paths.onProbed(Service, Endpoint, IsReachable);
  if (!Change)
    return;
  for (const auto &Record : Context.Fleet.Endpoints.endpointsOf(Service))
    endEjection(*Record, Now);
  const auto LostFor =
      std::chrono::duration_cast<milliseconds>(Now - *LostSince);
  Context.Log.write(log_level::Info, "service_path_regained",
                    {{"service", Service.text()},
                     {"reached", textOf(Change->Endpoints)},
                     {"lost_for_ms", std::to_string(LostFor.count())}});
}

} // namespace azurehaven
