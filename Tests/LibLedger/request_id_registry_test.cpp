#include "LibLedger/request_id_registry.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{};

request_body_notice noticeOf(const char *Request, std::uint64_t Body) {
  return makeRequestBodyNotice(client_account_id("account"),
                               request_id(Request), Body);
}

} // namespace

TEST_CASE("An id that was sent is rejected for another body") {
  request_id_registry Registry;
  REQUIRE(Registry.beginRequest(noticeOf("r", 1), Start));
  Registry.markSent(noticeOf("r", 1));
  Registry.endRequest(noticeOf("r", 1));
  CHECK_FALSE(Registry.beginRequest(noticeOf("r", 2), Start));
  CHECK(Registry.beginRequest(noticeOf("r", 1), Start));
  CHECK(Registry.beginRequest(noticeOf("other", 2), Start));
  CHECK(Registry.beginRequest(
      makeRequestBodyNotice(client_account_id("another"), request_id("r"), 2),
      Start));
}

TEST_CASE("Two bodies under one id do not run concurrently") {
  request_id_registry Registry;
  REQUIRE(Registry.beginRequest(noticeOf("r", 1), Start));
  CHECK_FALSE(Registry.beginRequest(noticeOf("r", 2), Start));
  CHECK(Registry.beginRequest(noticeOf("r", 1), Start));
}

TEST_CASE("An id is freed when its requests end without being sent") {
  request_id_registry Registry;
  REQUIRE(Registry.beginRequest(noticeOf("r", 1), Start));
  REQUIRE(Registry.beginRequest(noticeOf("r", 1), Start));
  Registry.endRequest(noticeOf("r", 1));
  CHECK_FALSE(Registry.beginRequest(noticeOf("r", 2), Start));
  Registry.endRequest(noticeOf("r", 1));
  CHECK(Registry.beginRequest(noticeOf("r", 2), Start));
}

TEST_CASE("Peers receive sent ids even if one frame is lost") {
  request_id_registry Registry;
  REQUIRE(Registry.beginRequest(noticeOf("r", 1), Start));
  CHECK(Registry.takeNotices().empty());
  Registry.markSent(noticeOf("r", 1));
  Registry.markSent(noticeOf("r", 1));
  const auto Lost = Registry.takeNotices();
  const auto Arrived = Registry.takeNotices();
  REQUIRE(Lost.size() == 1);
  REQUIRE(Arrived.size() == 1);
  CHECK(Registry.takeNotices().empty());
  request_id_registry Peer;
  Peer.merge(Arrived[0], Start);
  CHECK_FALSE(Peer.beginRequest(noticeOf("r", 2), Start));
  CHECK(Peer.beginRequest(noticeOf("r", 1), Start));
}

TEST_CASE("Ids expire after ten minutes and beyond the entry limit") {
  request_id_registry Registry;
  REQUIRE(Registry.beginRequest(noticeOf("old", 1), Start));
  Registry.markSent(noticeOf("old", 1));
  Registry.endRequest(noticeOf("old", 1));
  CHECK_FALSE(Registry.beginRequest(noticeOf("old", 2),
                                    Start + std::chrono::minutes(10)));
  CHECK(Registry.beginRequest(noticeOf("old", 2),
                              Start + std::chrono::minutes(11)));
  for (std::uint64_t Index = 0; Index < 60000; ++Index) {
    const auto Notice = noticeOf(std::to_string(Index).c_str(), 1);
    REQUIRE(Registry.beginRequest(Notice, Start + std::chrono::minutes(11)));
    Registry.markSent(Notice);
  }
  CHECK(Registry.size() <= 50001);
}
