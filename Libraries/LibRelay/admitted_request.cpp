#include "LibRelay/admitted_request.h"

#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

/// Steps in which fingerprints are dealt to the shares of a route.
constexpr std::uint64_t DrawSteps = 100003;

service_id drawService(const route &Route, std::uint64_t Fingerprint) {
  double Total = 0;
  for (const auto &Share : Route.Shares)
    Total += Share.Weight;
  // A request and its resends draw the same share.
  double Drawn =
      static_cast<double>(Fingerprint % DrawSteps) / DrawSteps * Total;
  for (const auto &Share : Route.Shares) {
    Drawn -= Share.Weight;
    if (Drawn < 0)
      return Share.Service;
  }
  return Route.Shares.empty() ? service_id() : Route.Shares.back().Service;
}

} // namespace

admitted_request makeAdmittedRequest(dispatch_request Request,
                                     std::shared_ptr<const route_table> Routes,
                                     const route &Route,
                                     const caller_account &Account,
                                     std::uint64_t Fingerprint) {
  admitted_request Subject;
  Subject.Session = fingerprintOf(Request.Session.empty() ? Request.Id.text()
                                                          : Request.Session);
  Subject.Request = std::move(Request);
  Subject.Routes = std::move(Routes);
  Subject.Route = &Route;
  Subject.Account = Account;
  Subject.Fingerprint = Fingerprint;
  Subject.Service = drawService(Route, Fingerprint);
  return Subject;
}

} // namespace azurehaven
