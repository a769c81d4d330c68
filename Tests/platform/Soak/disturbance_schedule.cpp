#include "Soak/disturbance_schedule.h"

#include <array>

namespace azurehaven::platform {

namespace {

constexpr milliseconds ShortestInterval{200};
constexpr milliseconds LongestInterval{1000};
/// A sound endpoint may fall silent for a second or so.
constexpr milliseconds ShortestStandstill{600};
constexpr milliseconds LongestStandstill{2500};
/// Between the endpoints that stand still in turn.
constexpr milliseconds TurnInterval{400};
constexpr std::size_t LeastRefused = 30;
constexpr std::size_t MostRefused = 70;
constexpr milliseconds ShortestRefusal{1500};
constexpr milliseconds LongestRefusal{5000};
/// A process that is stalled runs 40 ms of each 100, as under a usage cap.
constexpr milliseconds StallStep{60};
constexpr milliseconds RunStep{40};
constexpr milliseconds ShortestStall{1500};
constexpr milliseconds LongestStall{6000};
constexpr milliseconds ShortestStormInterval{20};
constexpr milliseconds LongestStormInterval{200};
constexpr std::uint64_t ChangesInStorm = 8;
constexpr int MostFurtherRoutes = 4;
/// The shortest is drawn most, as connections at rest reach it soonest.
constexpr std::array<milliseconds, 4> IdleTimeouts = {
    milliseconds(200), milliseconds(200), milliseconds(500),
    milliseconds(15000)};

steady_time now() { return std::chrono::steady_clock::now(); }

} // namespace

void disturbance_schedule::start() {
  Thread = std::thread([this] { playActions(); });
}

void disturbance_schedule::stop() {
  IsStopping = true;
  if (Thread.joinable())
    Thread.join();
}

void disturbance_schedule::playActions() {
  drawDisturbance();
  // After the stop, only what ends a disturbance is left.
  while (!Actions.empty()) {
    std::this_thread::sleep_until(Actions.begin()->first);
    const auto Action = std::move(Actions.begin()->second);
    Actions.erase(Actions.begin());
    Action();
  }
}

void disturbance_schedule::after(milliseconds Delay,
                                 std::function<void()> Action) {
  Actions.emplace(now() + Delay, std::move(Action));
}

milliseconds disturbance_schedule::drawTime(milliseconds Least,
                                            milliseconds Most) {
  return Least + milliseconds(Random() % static_cast<std::uint64_t>(
                                             (Most - Least).count()));
}

void disturbance_schedule::drawDisturbance() {
  if (IsStopping)
    return;
  static constexpr std::array<void (disturbance_schedule::*)(), 9> Kinds = {
      &disturbance_schedule::standStillInTurn,
      &disturbance_schedule::standStillInTurn,
      &disturbance_schedule::refuseSome,
      &disturbance_schedule::refuseSome,
      &disturbance_schedule::stallEntries,
      &disturbance_schedule::changeLimits,
      &disturbance_schedule::changeLimits,
      &disturbance_schedule::changeInStorm,
      &disturbance_schedule::reloadEntry};
  (this->*Kinds[Random() % Kinds.size()])();
  after(drawTime(ShortestInterval, LongestInterval),
        [this] { drawDisturbance(); });
}

void disturbance_schedule::standStillInTurn() {
  const std::size_t Count = 1 + Random() % (EndpointCount / 2);
  for (std::size_t Turn = 0; Turn < Count; ++Turn) {
    const std::size_t Endpoint = Random() % EndpointCount;
    const milliseconds Length = drawTime(ShortestStandstill, LongestStandstill);
    after(TurnInterval * Turn, [=, this] { standStill(Endpoint, Length); });
  }
}

void disturbance_schedule::standStill(std::size_t Endpoint,
                                      milliseconds Length) {
  if (IsStopping || !StillEndpoints.insert(Endpoint).second)
    return;
  const std::string Name = "endpoint " + std::to_string(Endpoint);
  Cluster.print(Name + " stands still for " + std::to_string(Length.count()) +
                " ms");
  const auto Interval =
      Cluster.StandstillLog.startInterval(fault_kind::Standstill, Name);
  Cluster.setStandingStill(Endpoint, true);
  after(Length, [=, this] {
    Cluster.setStandingStill(Endpoint, false);
    Cluster.StandstillLog.endInterval(Interval);
    StillEndpoints.erase(Endpoint);
  });
}

void disturbance_schedule::refuseSome() {
  const std::string Service = Random() % 3 == 0 ? PlainService : EngineService;
  const std::size_t Percent =
      LeastRefused + Random() % (MostRefused - LeastRefused);
  const milliseconds Length = drawTime(ShortestRefusal, LongestRefusal);
  if (IsCalm || std::exchange(IsRefusing, true))
    return;
  Cluster.print(Service + " refuse " + std::to_string(Percent) + " of 100");
  Cluster.setRefused(Service, Percent);
  after(Length, [=, this] {
    Cluster.setRefused(Service, 0);
    IsRefusing = false;
  });
}

void disturbance_schedule::stallEntries() {
  std::set<std::size_t> Entries;
  for (std::size_t Count = 1 + Random() % EntryCount; Count > 0; --Count)
    Entries.insert(Random() % EntryCount);
  const milliseconds Length = drawTime(ShortestStall, LongestStall);
  if (IsCalm || std::exchange(IsStalling, true))
    return;
  Cluster.print("stall " + std::to_string(Entries.size()) +
                " entry processes for " + std::to_string(Length.count()) +
                " ms");
  stallStep(Entries, now() + Length);
}

void disturbance_schedule::stallStep(const std::set<std::size_t> &Entries,
                                     steady_time Until) {
  if (now() >= Until || IsStopping || IsCalm) {
    IsStalling = false;
    return;
  }
  Cluster.stallEntries(Entries, StallStep);
  after(RunStep, [=, this] { stallStep(Entries, Until); });
}

void disturbance_schedule::changeLimits() {
  Configuration.IdleTimeout = IdleTimeouts[Random() % IdleTimeouts.size()];
  Configuration.HasShortTimeouts = Random() % 2 == 0;
  Configuration.FurtherRoutes = static_cast<int>(Random() % MostFurtherRoutes);
  Cluster.writeConfiguration(Configuration);
}

void disturbance_schedule::changeInStorm() {
  milliseconds Delay{0};
  for (std::uint64_t Count = 0; Count < ChangesInStorm; ++Count) {
    Delay += drawTime(ShortestStormInterval, LongestStormInterval);
    after(Delay, [this] { changeLimits(); });
  }
}

void disturbance_schedule::reloadEntry() {
  changeLimits();
  Cluster.reloadEntry(Random() % EntryCount);
}

} // namespace azurehaven::platform
