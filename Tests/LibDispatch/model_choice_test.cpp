#include "LibDispatch/model_choice.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

route routeOfModels(std::size_t Count) {
  route Route;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Route.ModelsBySize.emplace_back("m" + std::to_string(Index));
  return Route;
}

} // namespace

TEST_CASE("The smallest model is asked first, a doubted answer goes up") {
  const model_choice Choice;
  const route Route = routeOfModels(3);
  const dispatch_request Request;
  CHECK(Choice.firstModel(Route, Request) == 0);
  CHECK(Choice.escalate(Route, Request, 0, 0) == 2);
  CHECK_FALSE(Choice.escalate(Route, Request, 0, 100));
}

TEST_CASE("The largest model's answer stands whatever it thinks of it") {
  const model_choice Choice;
  CHECK_FALSE(Choice.escalate(routeOfModels(3), {}, 2, 0));
  CHECK_FALSE(Choice.escalate(routeOfModels(1), {}, 0, 0));
}

TEST_CASE("Larger models count as more work") {
  const model_choice Choice;
  const route Route = routeOfModels(3);
  CHECK(Choice.tokenWork(Route, 0) == 1);
  CHECK(Choice.tokenWork(Route, 1) > Choice.tokenWork(Route, 0));
  CHECK(Choice.tokenWork(Route, 2) > Choice.tokenWork(Route, 1));
}
