#include "LibRelay/admitted_request.h"

#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

/// Number of distinct samples by which fingerprints are split between the
/// shares of a route.
constexpr std::uint64_t SampleSteps = 100003;

service_id selectService(const route &Route,
                         const request_fingerprint &Fingerprint) {
  double Total = 0;
  for (const auto &Share : Route.Shares)
    Total += Share.Weight;
  // A request and its resends get the same share.
  double Position = static_cast<double>(Fingerprint.exact() % SampleSteps) /
                    SampleSteps * Total;
  for (const auto &Share : Route.Shares) {
    Position -= Share.Weight;
    if (Position < 0)
      return Share.Service;
  }
  return Route.Shares.empty() ? service_id() : Route.Shares.back().Service;
}

} // namespace

admitted_request makeAdmittedRequest(dispatch_request Request,
                                     std::shared_ptr<const route_table> Routes,
                                     const route &Route,
                                     const caller_account &Account,
                                     const request_fingerprint &Fingerprint) {
  admitted_request Admitted;
  Admitted.Session = fingerprintOf(Request.Session.empty() ? Request.Id.text()
                                                           : Request.Session);
  Admitted.SharedSegments = sharedSegments(Request);
  Admitted.Request = std::move(Request);
  Admitted.Routes = std::move(Routes);
  Admitted.Route = &Route;
  Admitted.Account = Account;
  Admitted.Fingerprint = Fingerprint;
  Admitted.Service = selectService(Route, Fingerprint);
  return Admitted;
}

} // namespace azurehaven
