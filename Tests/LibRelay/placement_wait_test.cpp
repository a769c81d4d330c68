#include "LibRelay/placement_wait.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace azurehaven;

TEST_CASE("A wait that is cancelled after its time does not call its handler") {
  asio::io_context Loop(1);
  placement_wait Wait(Loop.get_executor());
  int Calls = 0;
  // Both timers run out in the same turn; the first one's handler cancels.
  asio::steady_timer Earlier(Loop, milliseconds(1));
  Earlier.async_wait([&](const asio::error_code &) { Wait.cancel(); });
  Wait.start(steady_time(), [&] { ++Calls; });
  std::this_thread::sleep_for(milliseconds(60));
  Loop.run();
  CHECK(Calls == 0);
}
