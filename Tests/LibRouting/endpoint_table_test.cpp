#include "LibRouting/endpoint_table.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const version_id Version("m@1");

listed_vm engine(const std::string &Name,
                 listed_state State = listed_state::Live) {
  listed_vm ListedVm;
  ListedVm.Vm = vm_id(Name);
  ListedVm.Kind = vm_kind::Engine;
  ListedVm.State = State;
  ListedVm.Address = {"127.0.0.1", 1};
  return ListedVm;
}

endpoint_report reportWith(std::uint32_t Load, bool IsLeaving = false) {
  return {{Version}, 8, Load, IsLeaving, "boot"};
}

/// Returns a table of engines e0, e1, ... that have all reported no load.
endpoint_table makeTable(int Count) {
  endpoint_table Table(1);
  std::vector<listed_vm> List;
  for (int Index = 0; Index < Count; ++Index)
    List.push_back(engine("e" + std::to_string(Index)));
  Table.applyList(List);
  for (const auto &ListedVm : List)
    Table.updateReport(endpoint_id(ListedVm.Vm.text()), reportWith(0), Start);
  return Table;
}

constexpr milliseconds UsualTime{100};
constexpr milliseconds SlowTime{900};

attempt_report failedAttempt() { return {attempt_outcome::Failed}; }

attempt_report answeredAttempt(milliseconds TimeToFirstToken) {
  return {attempt_outcome::Answered, TimeToFirstToken};
}

/// The caller has left before the first token.
attempt_report abandonedAttempt(milliseconds TotalTime) {
  return {attempt_outcome::Cancelled, std::nullopt, TotalTime};
}

endpoint_id idOf(int Index) { return endpoint_id("e" + std::to_string(Index)); }

std::map<endpoint_id, int> tally(endpoint_table &Table, int Rounds,
                                 steady_time Now = Start) {
  std::map<endpoint_id, int> Counts;
  for (int Round = 0; Round < Rounds; ++Round)
    if (auto Chosen = Table.choose(Version, 0, {}, false, Now)) {
      Table.attemptStarted(Chosen->Id, false, Now);
      ++Counts[Chosen->Id];
    }
  return Counts;
}

} // namespace

TEST_CASE("requests are spread evenly while reports are outdated") {
  auto Table = makeTable(4);
  for (const auto &[Id, Count] : tally(Table, 40))
    CHECK(Count == doctest::Approx(10).epsilon(0.3));
}

TEST_CASE("other entry VMs are assumed to send as many requests as this one") {
  auto Table = makeTable(2);
  Table.setEntryCount(5);
  Table.updateReport(idOf(0), reportWith(4), Start + milliseconds(1));
  // One started request counts as five, so that the idle engine is not
  // overloaded.
  const auto Counts = tally(Table, 2);
  CHECK(Counts.size() == 2);
}

TEST_CASE(
    "an endpoint that is leaving by its report or the list gets no requests") {
  auto Table = makeTable(2);
  Table.updateReport(idOf(0), reportWith(0, true), Start + milliseconds(1));
  CHECK_FALSE(tally(Table, 10).contains(idOf(0)));
  Table.applyList({engine("e0"), engine("e1", listed_state::Leaving)});
  CHECK(tally(Table, 10).empty());
  // A later report that it is not leaving does not override the list.
  Table.updateReport(idOf(1), reportWith(0), Start + milliseconds(2));
  CHECK(tally(Table, 10).empty());
}

TEST_CASE("an unlisted endpoint is removed") {
  auto Table = makeTable(2);
  Table.applyList({engine("e1")});
  CHECK(tally(Table, 10).size() == 1);
}

TEST_CASE("a failing endpoint is ejected until it responds to a poll") {
  auto Table = makeTable(4);
  for (int Round = 0; Round < 2; ++Round) {
    Table.attemptStarted(idOf(0), false, Start);
    Table.attemptFinished(idOf(0), failedAttempt(), false, Start);
  }
  const steady_time Later = Start + std::chrono::minutes(5);
  CHECK_FALSE(tally(Table, 20, Later).contains(idOf(0)));
  Table.updateReport(idOf(0), reportWith(0), Later);
  CHECK(tally(Table, 60, Later).contains(idOf(0)));
}

TEST_CASE("ejection never takes all endpoints") {
  auto Table = makeTable(3);
  for (int Index = 0; Index < 3; ++Index)
    for (int Round = 0; Round < 5; ++Round) {
      Table.attemptStarted(idOf(Index), false, Start);
      Table.attemptFinished(idOf(Index), failedAttempt(), false, Start);
    }
  CHECK(tally(Table, 30).size() >= 2);
}

TEST_CASE("an endpoint much slower than interchangeable ones is ejected") {
  auto Table = makeTable(4);
  for (int Round = 0; Round < 10; ++Round)
    for (int Index = 0; Index < 4; ++Index) {
      Table.attemptStarted(idOf(Index), false, Start);
      Table.attemptFinished(idOf(Index),
                            answeredAttempt(Index == 2 ? SlowTime : UsualTime),
                            false, Start);
    }
  CHECK_FALSE(tally(Table, 40).contains(idOf(2)));
}

TEST_CASE("an endpoint whose callers give up while others respond is ejected") {
  auto Table = makeTable(4);
  for (int Round = 0; Round < 10; ++Round)
    for (int Index = 0; Index < 4; ++Index) {
      Table.attemptStarted(idOf(Index), false, Start);
      Table.attemptFinished(idOf(Index),
                            Index == 2 ? abandonedAttempt(SlowTime)
                                       : answeredAttempt(UsualTime),
                            false, Start);
    }
  CHECK_FALSE(tally(Table, 40).contains(idOf(2)));
}

TEST_CASE("callers that leave early make no endpoint an outlier") {
  auto Table = makeTable(4);
  for (int Round = 0; Round < 10; ++Round)
    for (int Index = 0; Index < 4; ++Index) {
      Table.attemptStarted(idOf(Index), false, Start);
      Table.attemptFinished(idOf(Index),
                            Index == 2 ? answeredAttempt(UsualTime)
                                       : abandonedAttempt(milliseconds(5)),
                            false, Start);
    }
  CHECK(tally(Table, 200).size() == 4);
}

TEST_CASE("a crashed endpoint needs a report requested after the crash") {
  auto Table = makeTable(1);
  Table.markCrashed(idOf(0), Start + milliseconds(10));
  CHECK(tally(Table, 1).empty());
  Table.updateReport(idOf(0), reportWith(0), Start + milliseconds(5));
  CHECK(tally(Table, 1).empty());
  Table.updateReport(idOf(0), reportWith(0), Start + milliseconds(11));
  CHECK(tally(Table, 1).size() == 1);
}

TEST_CASE("requests with one prefix go to one endpoint until that is loaded") {
  auto Table = makeTable(4);
  const auto First = Table.choose(Version, 77, {}, false, Start);
  for (int Round = 0; Round < 10; ++Round)
    CHECK(Table.choose(Version, 77, {}, false, Start)->Id == First->Id);
  for (int Round = 0; Round < 12; ++Round)
    Table.attemptStarted(First->Id, false, Start);
  CHECK(Table.choose(Version, 77, {}, false, Start)->Id != First->Id);
}

TEST_CASE("two suspect requests never share an endpoint") {
  auto Table = makeTable(1);
  const auto First = Table.choose(Version, 0, {}, true, Start);
  REQUIRE(First);
  Table.attemptStarted(First->Id, true, Start);
  CHECK_FALSE(Table.choose(Version, 0, {}, true, Start));
  CHECK(Table.choose(Version, 0, {}, false, Start));
}

TEST_CASE("All entry VMs together keep the rate that an endpoint reports") {
  constexpr int VmCount = 5;
  constexpr double PerSecond = 1.3;
  std::vector<listed_vm> List = {engine("e0"), engine("e1")};
  for (int Index = 0; Index < VmCount; ++Index) {
    listed_vm Entry;
    Entry.Vm = vm_id("vm-" + std::to_string(Index));
    List.push_back(Entry);
  }
  std::vector<endpoint_table> Tables;
  for (int Index = 0; Index < VmCount; ++Index) {
    Tables.emplace_back(1, vm_id("vm-" + std::to_string(Index)));
    Tables.back().applyList(List);
  }
  std::vector<steady_time> Sent;
  endpoint_report Limited = reportWith(0);
  Limited.RequestsPerSecond = PerSecond;
  for (steady_time Now = Start; Now < Start + std::chrono::seconds(20);
       Now += milliseconds(50))
    for (auto &Table : Tables) {
      Table.updateReport(idOf(0), Limited, Now);
      Table.updateReport(idOf(1), reportWith(8), Now);
      auto Chosen = Table.choose(Version, 0, {}, false, Now);
      REQUIRE(Chosen);
      Table.attemptStarted(Chosen->Id, false, Now);
      if (Chosen->Id == idOf(0))
        Sent.push_back(Now);
    }
  // An endpoint tolerates half as much again and five requests in four seconds.
  for (std::size_t First = 0; First < Sent.size(); ++First) {
    const auto InWindow =
        std::count_if(Sent.begin() + static_cast<std::ptrdiff_t>(First),
                      Sent.end(), [&](steady_time At) {
                        return At - Sent[First] < std::chrono::seconds(4);
                      });
    CHECK(static_cast<double>(InWindow) <= 1.5 * PerSecond * 4 + 5);
  }
  CHECK(Sent.size() > 10);
  for (auto &Table : Tables) {
    const steady_time Later = Start + std::chrono::seconds(21);
    Table.updateReport(idOf(0), reportWith(0), Later);
    CHECK_FALSE(Table.timeUntilAdmission(Version, Later));
  }
}

TEST_CASE("The time until a limited endpoint takes a request is known") {
  auto Table = makeTable(1);
  endpoint_report Limited = reportWith(0);
  Limited.RequestsPerSecond = 0.5;
  Table.updateReport(idOf(0), Limited, Start);
  CHECK_FALSE(Table.choose(Version, 0, {}, false, Start));
  CHECK(Table.hasUsableEndpoint(Version, Start));
  const auto Time = Table.timeUntilAdmission(Version, Start);
  REQUIRE(Time);
  CHECK(*Time == milliseconds(2000));
  CHECK(Table.choose(Version, 0, {}, false, Start + *Time));
}
