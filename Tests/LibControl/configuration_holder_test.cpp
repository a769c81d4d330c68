#include "LibControl/configuration_holder.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("a configuration is replaced only by a higher version") {
  configuration_holder Holder;
  configuration Candidate;
  Candidate.Version = 4;
  CHECK(Holder.replaceIfNewer(Candidate));
  CHECK_FALSE(Holder.replaceIfNewer(Candidate));
  Candidate.Version = 3;
  CHECK_FALSE(Holder.replaceIfNewer(Candidate));
  CHECK(Holder.current()->Version == 4);
}
