#include "platform/key_value_store.h"

#include "Soak/store_double.h"

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace azurehaven;
using namespace azurehaven::platform;

namespace {

/// A store over HTTP on the loopback interface.
struct served_store {
  served_store() {
    for (std::uint16_t Port = 42000; Port < 42900 && !Server; ++Port) {
      Address = {"127.0.0.1", Port};
      auto Result = http_server::listen(Address, {},
                                        [this](const served_request &Request) {
                                          return Double.serve(Request);
                                        });
      if (!isError(Result))
        Server = std::move(valueOf(Result));
    }
    REQUIRE(Server);
  }
  ~served_store() { Server->stop(); }

  store_double Double;
  network_address Address;
  std::unique_ptr<http_server> Server;
};

/// A store with two clients.
struct store_fixture : served_store {
  store_fixture() {
    First.setRestorationHandler([this] { ++Restorations; });
  }

  /// Runs the loop until the call that Start begins has ended.
  template <typename T>
  T await(std::function<void(std::function<void(T)>)> Start) {
    std::optional<T> Outcome;
    Start([&](T Result) { Outcome = std::move(Result); });
    while (!Outcome) {
      Loop.restart();
      Loop.run_one();
    }
    return *Outcome;
  }
  result<range_result> read(key_value_store &Store) {
    return await<result<range_result>>([&](auto Handler) {
      Store.readRange({"", ""}, std::move(Handler));
    });
  }
  result<store_revision> commit(key_value_store &Store,
                                store_transaction Transaction) {
    return await<result<store_revision>>([&](auto Handler) {
      Store.commit(std::move(Transaction), std::move(Handler));
    });
  }
  result<store_lease> grantLease(key_value_store &Store) {
    return await<result<store_lease>>([&](auto Handler) {
      Store.grantLease(milliseconds(60000), std::move(Handler));
    });
  }
  result<success> renew(key_value_store &Store, store_lease Lease) {
    return await<result<success>>(
        [&](auto Handler) { Store.renewLease(Lease, std::move(Handler)); });
  }
  watch_outcome watch(key_value_store &Store, store_revision After) {
    return await<watch_outcome>([&](auto Handler) {
      Store.watch("", After, milliseconds(50), std::move(Handler));
    });
  }
  /// A write to the key that requires this revision of it.
  static store_transaction swap(const std::string &Value,
                                store_revision Required) {
    store_transaction Transaction;
    Transaction.Conditions.push_back({"k", Required});
    Transaction.Puts.push_back({"k", Value, NoLease});
    return Transaction;
  }

  asio::io_context Loop{1};
  boot_clock_source Clock;
  null_event_log Log;
  metrics Metrics;
  key_value_store First{Loop.get_executor(), Address, Clock, Log, Metrics};
  key_value_store Second{Loop.get_executor(), Address, Clock, Log, Metrics};
  int Restorations = 0;
};

store_revision revisionOf(const result<range_result> &Range) {
  return valueOf(Range).Items.front().Revision;
}

error_code codeOf(const result<store_revision> &Result) {
  return errorOf(Result).Code;
}

} // namespace

TEST_CASE("A restored store's revisions are newer in spite of their numbers") {
  store_fixture Fixture;
  Fixture.Double.put("k", "1");
  Fixture.Double.makeCopy();
  for (const char *Value : {"2", "3", "4"})
    Fixture.Double.put("k", Value);
  const auto Before = Fixture.read(Fixture.First);
  Fixture.Double.restore();
  const auto After = Fixture.read(Fixture.First);
  REQUIRE_FALSE(isError(After));
  CHECK(Fixture.Restorations == 1);
  CHECK(valueOf(After).Items.front().Value == "1");
  CHECK(revisionOf(After) > revisionOf(Before));
  CHECK(revisionOf(After).Number < revisionOf(Before).Number);
}

TEST_CASE(
    "A watch from before a restoration ends as if history was compacted") {
  store_fixture Fixture;
  Fixture.Double.put("k", "1");
  Fixture.Double.makeCopy();
  const auto Range = Fixture.read(Fixture.First);
  Fixture.Double.restore();
  // The store has changes after the number, but of another history.
  Fixture.Double.put("k", "2");
  CHECK(std::holds_alternative<history_compacted>(
      Fixture.watch(Fixture.First, valueOf(Range).Revision)));
  CHECK(Fixture.Restorations == 1);
}

TEST_CASE("A condition on an earlier era fails although the number matches") {
  store_fixture Fixture;
  Fixture.Double.put("k", "1");
  Fixture.Double.makeCopy();
  Fixture.Double.put("k", "mine");
  const auto Seen = Fixture.read(Fixture.First);
  Fixture.Double.restore();
  Fixture.Double.put("k", "another's");
  const store_revision Reused = revisionOf(Fixture.read(Fixture.Second));
  REQUIRE(Reused.Number == revisionOf(Seen).Number);
  SUBCASE("before the restoration is noticed, the outcome is unknown") {
    const auto Result = Fixture.commit(
        Fixture.First, store_fixture::swap("stale", revisionOf(Seen)));
    CHECK(codeOf(Result) == error_code::OutcomeUnknown);
  }
  SUBCASE("after it, nothing is sent") {
    Fixture.read(Fixture.First);
    const auto Result = Fixture.commit(
        Fixture.First, store_fixture::swap("stale", revisionOf(Seen)));
    CHECK(codeOf(Result) == error_code::Conflict);
    CHECK(Fixture.Double.values("k").at("k") == "another's");
  }
}

TEST_CASE("Of two writers after a restoration one wins") {
  store_fixture Fixture;
  Fixture.Double.put("k", "in progress");
  Fixture.Double.makeCopy();
  Fixture.Double.put("k", "rolled back");
  Fixture.read(Fixture.First);
  Fixture.read(Fixture.Second);
  Fixture.Double.restore();
  const store_revision SeenFirst = revisionOf(Fixture.read(Fixture.First));
  const store_revision SeenSecond = revisionOf(Fixture.read(Fixture.Second));
  CHECK_FALSE(isError(
      Fixture.commit(Fixture.First, store_fixture::swap("first", SeenFirst))));
  CHECK(codeOf(Fixture.commit(Fixture.Second,
                              store_fixture::swap("second", SeenSecond))) ==
        error_code::Conflict);
  CHECK(Fixture.Double.values("k").at("k") == "first");
}

TEST_CASE("A lease of an earlier era is not renewed, nor ended for another") {
  store_fixture Fixture;
  Fixture.Double.makeCopy();
  const auto Mine = Fixture.grantLease(Fixture.First);
  REQUIRE_FALSE(isError(Mine));
  Fixture.Double.restore();
  const auto Other = Fixture.grantLease(Fixture.Second);
  REQUIRE(valueOf(Other).Id == valueOf(Mine).Id);
  // The renewal itself is the first call that shows the restoration.
  const auto Renewed = Fixture.renew(Fixture.First, valueOf(Mine));
  REQUIRE(isError(Renewed));
  CHECK(errorOf(Renewed).Code == error_code::NotFound);
  CHECK(Fixture.Restorations == 1);
  Fixture.await<result<success>>([&](auto Handler) {
    Fixture.First.endLease(valueOf(Mine), std::move(Handler));
  });
  CHECK_FALSE(isError(Fixture.renew(Fixture.Second, valueOf(Other))));
}
