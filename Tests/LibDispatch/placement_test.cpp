#include "LibDispatch/placement.h"

#include "LibDispatch/endpoint_health.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

endpoint_list makeEndpoints(int Count) {
  endpoint_list List;
  for (int Index = 0; Index < Count; ++Index) {
    auto Endpoint = std::make_shared<endpoint_record>();
    Endpoint->Descriptor.Id = endpoint_id("e" + std::to_string(Index));
    Endpoint->Descriptor.Domain = failure_domain_id(Index % 2 ? "odd" : "even");
    List.push_back(Endpoint);
  }
  return List;
}

dispatch_request requestWithPrefix(const std::string &Prefix) {
  dispatch_request Request;
  Request.Id = request_id("r");
  Request.Prompt = {{Prefix, 10000}, {"own", 500}};
  Request.PromptTokens = 10500;
  return Request;
}

} // namespace

TEST_CASE("Requests with the same prefix go to the same engine") {
  const auto Endpoints = makeEndpoints(9);
  placement_parameters Parameters;
  Parameters.Model = model_id("m");
  const auto Assigned =
      selectEngine(requestWithPrefix("a"), Endpoints, Parameters, Start);
  for (int Index = 0; Index < 5; ++Index)
    CHECK(selectEngine(requestWithPrefix("a"), Endpoints, Parameters, Start) ==
          Assigned);
}

TEST_CASE("A burst of requests with the same prefix spreads over all engines") {
  const auto Endpoints = makeEndpoints(9);
  placement_parameters Parameters;
  std::set<endpoint_id> Used;
  std::uint32_t Most = 0;
  // 200 requests with one prefix, none of which ends during the burst.
  for (int Index = 0; Index < 200; ++Index) {
    const auto Chosen =
        selectEngine(requestWithPrefix("hot"), Endpoints, Parameters, Start);
    ++Chosen->InFlight;
    Chosen->PromptWork += 500;
    Chosen->SentPrefixes[sharedPrefixKey(requestWithPrefix("hot"),
                                         Parameters.Model)] = Start;
    Used.insert(Chosen->Descriptor.Id);
    Most = std::max(Most, Chosen->InFlight);
  }
  CHECK(Used.size() == 9);
  CHECK(Most <= 2 * 200 / 9);
}

TEST_CASE(
    "Under light load requests stay on the engine that caches the prefix") {
  const auto Endpoints = makeEndpoints(9);
  placement_parameters Parameters;
  const auto Assigned =
      selectEngine(requestWithPrefix("a"), Endpoints, Parameters, Start);
  Assigned->InFlight = 3;
  CHECK(selectEngine(requestWithPrefix("a"), Endpoints, Parameters, Start) ==
        Assigned);
}

TEST_CASE("Tried, leaving and ejected endpoints are not selected") {
  const auto Endpoints = makeEndpoints(3);
  Endpoints[0]->Descriptor.IsLeaving = true;
  Endpoints[1]->EjectedUntil = Start + milliseconds(1);
  placement_parameters Parameters;
  Parameters.Tried = {endpoint_id("e2")};
  CHECK_FALSE(selectLeastLoaded(Endpoints, Parameters, Start));
  CHECK_FALSE(
      selectEngine(requestWithPrefix("a"), Endpoints, Parameters, Start));
  CHECK(selectLeastLoaded(Endpoints, Parameters, Start + milliseconds(1)) ==
        Endpoints[1]);
}

TEST_CASE("Plain requests go to the least loaded endpoint, own domain first") {
  const auto Endpoints = makeEndpoints(4);
  placement_parameters Parameters;
  Parameters.OwnDomain = failure_domain_id("odd");
  CHECK(selectLeastLoaded(Endpoints, Parameters, Start)->Descriptor.Domain ==
        failure_domain_id("odd"));
  Endpoints[1]->InFlight = 1;
  Endpoints[3]->InFlight = 1;
  CHECK(selectLeastLoaded(Endpoints, Parameters, Start)->Descriptor.Domain ==
        failure_domain_id("even"));
}

TEST_CASE("The load of other VMs counts in the selection") {
  const auto Endpoints = makeEndpoints(4);
  placement_parameters Parameters;
  for (const auto &Endpoint : Endpoints)
    Endpoint->PeersInFlight = Endpoint == Endpoints[2] ? 0 : 4;
  CHECK(selectLeastLoaded(Endpoints, Parameters, Start) == Endpoints[2]);
}

TEST_CASE("A request that has failed goes to the endpoint that fails least") {
  // Two of four endpoints fail half of their requests, and have less load than
  // the sound ones.
  const auto Endpoints = makeEndpoints(4);
  for (const int Sound : {2, 3})
    Endpoints[Sound]->InFlight = 5;
  for (const int Failing : {0, 1})
    for (int Index = 0; Index < 20; ++Index)
      recordErrorResponse(*Endpoints[Failing], Start);
  for (const auto &Endpoint : Endpoints)
    Endpoint->EjectedUntil = {};
  placement_parameters Parameters;
  const auto First = selectLeastLoaded(Endpoints, Parameters, Start);
  CHECK(First->FailureRate > 0.4);
  Parameters.Tried = {First->Descriptor.Id};
  CHECK(selectLeastLoaded(Endpoints, Parameters, Start)->FailureRate == 0);
}
