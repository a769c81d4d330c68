#include "LibRouting/version_chooser.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

work_class workClass(double Quality) {
  work_class Class;
  Class.Id = class_id("c");
  Class.QualityTarget = Quality;
  Class.FirstTokenTarget = milliseconds(1000);
  Class.Deadline = milliseconds(60000);
  return Class;
}

model_version versionOf(const char *Id, std::int64_t Price,
                        version_state State = version_state::Active) {
  const std::string Text = Id;
  return {version_id(Text), model_id(Text.substr(0, Text.find('@'))),
          micro_euros(Price), micro_euros(Price), State};
}

version_view viewOf(const model_version &Version, double Quality,
                    std::uint64_t Count) {
  version_view View;
  View.Version = &Version;
  View.IsAvailable = true;
  View.Statistics.FirstTokenMs = 100;
  View.Statistics.FirstTokenDeviationMs = 10;
  View.Statistics.TotalMs = 5000;
  View.Ratings[3] = {
      Count,
      static_cast<std::uint64_t>(Quality * 1000 * static_cast<double>(Count)),
      Count, 0};
  return View;
}

/// Counts over Rounds choices how often each version is the last stage.
std::map<std::string, int> tally(const work_class &Class,
                                 const std::vector<version_view> &Views,
                                 int Rounds = 1000) {
  version_chooser Chooser(1);
  std::map<std::string, int> Counts;
  for (int Round = 0; Round < Rounds; ++Round)
    ++Counts
        [Chooser.choose(Class, Views, nullptr)->Stages.back().Version.text()];
  return Counts;
}

const model_version Cheap = versionOf("cheap@1", 10);
const model_version Middle = versionOf("middle@1", 100);
const model_version Dear = versionOf("dear@1", 1000);

} // namespace

TEST_CASE("the cheapest version that is shown to meet the target is chosen") {
  const auto Counts =
      tally(workClass(0.85), {viewOf(Cheap, 0.7, 500), viewOf(Middle, 0.9, 500),
                              viewOf(Dear, 0.97, 500)});
  CHECK(Counts.at("middle@1") > 900);
}

TEST_CASE(
    "without ratings the most expensive version serves, others are explored") {
  auto Counts =
      tally(workClass(0.85),
            {viewOf(Cheap, 0, 0), viewOf(Middle, 0, 0), viewOf(Dear, 0, 0)});
  CHECK(Counts["dear@1"] > 900);
  CHECK(Counts["cheap@1"] + Counts["middle@1"] > 0);
}

TEST_CASE("a version without ratings is preferred to a mediocre one") {
  const auto Counts =
      tally(workClass(0.9), {viewOf(Middle, 0.83, 300), viewOf(Dear, 0, 0)});
  CHECK(Counts.at("dear@1") > 900);
}

TEST_CASE("quality takes precedence over latency, latency over cost") {
  version_view Busy = viewOf(Middle, 0.9, 500);
  Busy.QueueMs = 30000;
  const auto Counts = tally(workClass(0.85), {viewOf(Cheap, 0.5, 500), Busy,
                                              viewOf(Dear, 0.97, 500)});
  CHECK(Counts.at("dear@1") > 900);
}

TEST_CASE("versions that are unavailable or paused are never chosen") {
  const model_version Paused = versionOf("paused@1", 1, version_state::Paused);
  version_view Unavailable = viewOf(Cheap, 0.99, 500);
  Unavailable.IsAvailable = false;
  const auto Counts =
      tally(workClass(0.5),
            {Unavailable, viewOf(Paused, 0.99, 500), viewOf(Dear, 0.97, 500)});
  CHECK(Counts.size() == 1);
  CHECK(Counts.contains("dear@1"));
}

TEST_CASE("a suspect version still gets a small share") {
  version_view Suspect = viewOf(Middle, 0.9, 500);
  Suspect.IsSuspect = true;
  const auto Counts =
      tally(workClass(0.85), {Suspect, viewOf(Dear, 0.97, 500)});
  CHECK(Counts.at("dear@1") > 800);
  CHECK(Counts.at("middle@1") > 20);
}

TEST_CASE("the share of a version under roll-out grows with its ratings") {
  const model_version Next =
      versionOf("middle@2", 100, version_state::RollingOut);
  const auto Share = [&](std::uint64_t Count) {
    return tally(workClass(0.85),
                 {viewOf(Middle, 0.9, 500), viewOf(Next, 0.9, Count)},
                 4000)["middle@2"];
  };
  CHECK(Share(0) < 4000 / 20);
  CHECK(Share(100) > Share(0));
  CHECK(Share(1000) < 4000 * 6 / 10);
}

TEST_CASE("a cascade is chosen if it is cheaper and fast enough") {
  version_view Sure = viewOf(Cheap, 0.98, 300);
  Sure.Statistics.TotalMs = 200;
  Sure.Statistics.TotalDeviationMs = 50;
  // The same number of answers of low confidence, most of them bad.
  Sure.Ratings[0] = {300, 90000, 300, 0};
  version_chooser Chooser(1);
  int Cascades = 0;
  for (int Round = 0; Round < 100; ++Round)
    Cascades +=
        Chooser
            .choose(workClass(0.93), {Sure, viewOf(Dear, 0.97, 500)}, nullptr)
            ->Stages.size() == 2;
  CHECK(Cascades > 70);
  Sure.Statistics.TotalMs = 20000;
  Cascades = 0;
  work_class Impatient = workClass(0.93);
  Impatient.LatencyWeight = 4;
  for (int Round = 0; Round < 100; ++Round)
    Cascades +=
        Chooser.choose(Impatient, {Sure, viewOf(Dear, 0.97, 500)}, nullptr)
            ->Stages.size() == 2;
  CHECK(Cascades == 0);
}

TEST_CASE("every candidate is explained") {
  version_chooser Chooser(1);
  std::vector<candidate_note> Notes;
  (void)Chooser.choose(workClass(0.85),
                       {viewOf(Cheap, 0.7, 500), viewOf(Dear, 0.97, 500)},
                       &Notes);
  REQUIRE(Notes.size() >= 2);
  CHECK(Notes[0].Verdict.find("quality not shown") != std::string::npos);
  CHECK(Notes[1].Verdict.find("chosen") != std::string::npos);
}
