#include "LibControl/configuration_holder.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("a configuration is replaced only by a higher version") {
  configuration_holder Holder;
  configuration Offered;
  Offered.Version = 4;
  CHECK(Holder.offer(Offered));
  CHECK_FALSE(Holder.offer(Offered));
  Offered.Version = 3;
  CHECK_FALSE(Holder.offer(Offered));
  CHECK(Holder.current()->Version == 4);
}
