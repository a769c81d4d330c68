#include "LibDispatch/brittle_admission.h"
#include "LibDispatch/brittle_services.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const service_id Service("s");

} // namespace

TEST_CASE("Each brittle endpoint has the same number of holders, and each VM "
          "an endpoint") {
  for (const std::size_t VmCount : {1, 2, 5, 38, 300})
    for (const std::size_t EndpointCount : {1, 3, 12, 112})
      for (const double Tolerance : {0.0, 1.0, 3.0, 10.0}) {
        CAPTURE(VmCount);
        CAPTURE(EndpointCount);
        CAPTURE(Tolerance);
        const auto Quota = shareRejections(Tolerance, VmCount, EndpointCount);
        std::vector<std::size_t> EndpointsOf(VmCount);
        for (std::size_t Endpoint = 0; Endpoint < EndpointCount; ++Endpoint) {
          std::size_t Holders = 0;
          for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
            if (!isHolder(Quota, {Vm, VmCount}, {Endpoint, EndpointCount}))
              continue;
            ++Holders;
            ++EndpointsOf[Vm];
          }
          CHECK(Holders == Quota.Holders);
        }
        for (const std::size_t Count : EndpointsOf)
          CHECK(Count > 0);
        // Unless there are too few endpoints for the VMs, all unanswered
        // requests together may be rejected at once.
        if (VmCount <= EndpointCount)
          CHECK(static_cast<double>(Quota.Holders * Quota.RequestsEach) <=
                std::max(1.0, Tolerance));
      }
}

TEST_CASE("A brittle endpoint gets no more requests than it may reject until "
          "it responds") {
  brittle_admission Endpoint;
  Endpoint.onSent();
  CHECK(Endpoint.admits(Start));
  Endpoint.setQuota(2);
  CHECK(Endpoint.admits(Start));
  Endpoint.onSent();
  CHECK_FALSE(Endpoint.admits(Start));
  CHECK(Endpoint.isFull(Start));
  Endpoint.onAnswered();
  CHECK(Endpoint.admits(Start));
}

TEST_CASE("After a rejection a brittle endpoint is left alone for longer than "
          "a second") {
  brittle_admission Endpoint;
  Endpoint.onRejected(0, Start);
  CHECK(Endpoint.admits(Start));
  Endpoint.setQuota(1);
  Endpoint.onRejected(0, Start);
  CHECK_FALSE(Endpoint.admits(Start + milliseconds(1100)));
  CHECK_FALSE(Endpoint.isFull(Start + milliseconds(1100)));
  CHECK(Endpoint.admits(Start + milliseconds(1300)));
}

TEST_CASE("An endpoint that this VM does not hold is neither used nor waited "
          "for") {
  brittle_admission Endpoint;
  Endpoint.setQuota(0);
  CHECK_FALSE(Endpoint.admits(Start));
  CHECK_FALSE(Endpoint.isFull(Start));
}

TEST_CASE("A service is brittle until an endpoint no longer says so") {
  brittle_services Services;
  CHECK_FALSE(Services.observe(Service, std::nullopt, Start, Start));
  CHECK(Services.statements().empty());
  CHECK(Services.observe(Service, 3.0, Start, Start + milliseconds(50)));
  CHECK_FALSE(Services.observe(Service, 3.0, Start, Start + milliseconds(60)));
  // This response may have been sent before the service was brittle.
  CHECK_FALSE(
      Services.observe(Service, std::nullopt, Start, Start + milliseconds(70)));
  CHECK(Services.toleranceOf(Service) == 3.0);
  CHECK(Services.observe(Service, std::nullopt, Start + milliseconds(61),
                         Start + milliseconds(90)));
  CHECK_FALSE(Services.toleranceOf(Service));
}

TEST_CASE("The newest statement about a service counts") {
  brittle_services Services;
  Services.merge(Service, {3.0, Start});
  Services.merge(Service, {5.0, Start - milliseconds(1)});
  CHECK(Services.toleranceOf(Service) == 3.0);
  Services.merge(Service, {std::nullopt, Start + milliseconds(1)});
  CHECK_FALSE(Services.toleranceOf(Service));
}
