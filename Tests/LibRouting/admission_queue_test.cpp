#include "LibRouting/admission_queue.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

admission_request requestOf(const char *Account, int Priority = 5,
                            double Share = 1) {
  return {client_account_id(Account), Share, Priority,
          Start + std::chrono::seconds(10)};
}

admission_ticket mustQueue(admission_queue &Queue,
                           const admission_request &Request) {
  auto Result = Queue.admit(Request, Start);
  REQUIRE(std::holds_alternative<queued>(Result));
  return std::get<queued>(Result).Ticket;
}

admission_ticket mustAdmit(admission_queue &Queue,
                           const admission_request &Request) {
  auto Result = Queue.admit(Request, Start);
  REQUIRE(std::holds_alternative<admitted>(Result));
  return std::get<admitted>(Result).Ticket;
}

} // namespace

TEST_CASE("an account may use the whole limit while no other one waits") {
  admission_queue Queue;
  Queue.setConcurrencyLimit(4);
  for (int Count = 0; Count < 4; ++Count)
    (void)mustAdmit(Queue, requestOf("flooding"));
  CHECK(Queue.inFlight() == 4);
}

TEST_CASE("released capacity goes to the account with the least usage") {
  admission_queue Queue;
  Queue.setConcurrencyLimit(2);
  const auto First = mustAdmit(Queue, requestOf("flooding"));
  (void)mustAdmit(Queue, requestOf("flooding"));
  (void)mustQueue(Queue, requestOf("flooding"));
  const auto Modest = mustQueue(Queue, requestOf("modest"));
  const auto Progress = Queue.release(First, milliseconds(100), Start);
  REQUIRE(Progress.Admitted.size() == 1);
  CHECK(Progress.Admitted[0] == Modest);
}

TEST_CASE("usage on other VMs counts, in proportion to the share") {
  admission_queue Queue;
  Queue.setConcurrencyLimit(1);
  const auto First = mustAdmit(Queue, requestOf("x"));
  Queue.setRemoteInFlight(
      {{client_account_id("busy"), 6}, {client_account_id("large"), 6}});
  const auto Busy = mustQueue(Queue, requestOf("busy"));
  const auto Large = mustQueue(Queue, requestOf("large", 5, 3));
  auto Progress = Queue.release(First, milliseconds(100), Start);
  CHECK(Progress.Admitted.at(0) == Large);
  Progress = Queue.release(Large, milliseconds(100), Start);
  CHECK(Progress.Admitted.at(0) == Busy);
}

TEST_CASE(
    "a full queue sheds the account with the most demand, lowest priority "
    "first") {
  admission_queue Queue;
  Queue.setConcurrencyLimit(1);
  (void)mustAdmit(Queue, requestOf("flooding"));
  std::vector<admission_ticket> Flood;
  for (int Count = 0; Count < 8; ++Count)
    Flood.push_back(
        mustQueue(Queue, requestOf("flooding", Count == 3 ? 1 : 5)));
  (void)mustQueue(Queue, requestOf("modest"));
  const auto Progress = Queue.advance(Start);
  REQUIRE(Progress.Shed.size() == 1);
  CHECK(Progress.Shed[0].first == Flood[3]);
  CHECK(Progress.Shed[0].second > milliseconds(0));
  // The flooding account's next request is shed immediately.
  CHECK(std::holds_alternative<shed>(
      Queue.admit(requestOf("flooding", 1), Start)));
}

TEST_CASE("a request that can't start in time is shed") {
  admission_queue Queue;
  Queue.setConcurrencyLimit(1);
  (void)mustAdmit(Queue, requestOf("x"));
  const auto Ticket = mustQueue(Queue, requestOf("y"));
  CHECK(Queue.advance(Start + std::chrono::seconds(9)).Shed.empty());
  const auto Progress = Queue.advance(Start + std::chrono::seconds(10));
  REQUIRE(Progress.Shed.size() == 1);
  CHECK(Progress.Shed[0].first == Ticket);
  admission_request Late = requestOf("y");
  Late.LatestStart = Start;
  CHECK(std::holds_alternative<shed>(Queue.admit(Late, Start)));
}

TEST_CASE("a cancelled request leaves the queue") {
  admission_queue Queue;
  Queue.setConcurrencyLimit(1);
  const auto First = mustAdmit(Queue, requestOf("x"));
  const auto Ticket = mustQueue(Queue, requestOf("y"));
  CHECK(Queue.cancel(Ticket));
  CHECK_FALSE(Queue.cancel(Ticket));
  CHECK(Queue.release(First, milliseconds(1), Start).Admitted.empty());
}
