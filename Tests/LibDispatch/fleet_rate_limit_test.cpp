#include "LibDispatch/fleet_rate_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
constexpr milliseconds Step{20};
constexpr milliseconds Window{4000};

/// What an endpoint tolerates in any window.
double allowedInWindow(double PerSecond) {
  return 1.5 * PerSecond * std::chrono::duration<double>(Window).count() + 5;
}

/// The most requests in any window.
double mostInWindow(const std::vector<steady_time> &Times) {
  double Most = 0;
  auto First = Times.begin();
  for (auto Last = Times.begin(); Last != Times.end(); ++Last) {
    while (*Last - *First >= Window)
      ++First;
    Most = std::max(Most, static_cast<double>(Last - First + 1));
  }
  return Most;
}

/// The VMs that share one endpoint; each sends whenever it may.
struct limited_vms {
  limited_vms(std::size_t VmCount, double PerSecond)
      : PerSecond(PerSecond), Limits(VmCount) {
    for (auto &Limit : Limits)
      Limit.observe(PerSecond, Start, Start);
    share(VmCount);
  }
  /// Shares the rate among the first Count VMs as far as they hold it.
  void share(std::size_t Count) {
    const std::size_t Holders = fleet_rate_limit::holderCount(PerSecond, Count);
    for (std::size_t Index = 0; Index < Limits.size(); ++Index)
      Limits[Index].setShare(
          Index < Holders ? 1 / static_cast<double>(Holders) : 0, Now);
  }
  void sendFor(milliseconds Time) {
    for (const steady_time End = Now + Time; Now < End; Now += Step)
      for (auto &Limit : Limits)
        while (Limit.allows(Now)) {
          Limit.consume(Now);
          Sent.push_back(Now);
        }
  }

  double PerSecond;
  steady_time Now = Start;
  std::vector<fleet_rate_limit> Limits;
  std::vector<steady_time> Sent;
};

fleet_rate_limit limitedAt(double PerSecond) {
  fleet_rate_limit Limit;
  Limit.observe(PerSecond, Start, Start);
  Limit.setShare(1, Start);
  return Limit;
}

} // namespace

TEST_CASE("The rate holds in each window with one VM, a few and hundreds") {
  for (const std::size_t VmCount : {1, 2, 5, 12, 300})
    for (const double PerSecond : {0.0, 0.5, 1.0, 1.3, 7.0, 40.0, 1000.0}) {
      CAPTURE(VmCount);
      CAPTURE(PerSecond);
      limited_vms Vms(VmCount, PerSecond);
      Vms.sendFor(milliseconds(20000));
      CHECK(mostInWindow(Vms.Sent) <= allowedInWindow(PerSecond));
      // VMs in demand use at least four fifths of it.
      CHECK(static_cast<double>(Vms.Sent.size()) >= 0.8 * PerSecond * 20 - 2);
    }
}

TEST_CASE("The rate holds while VMs are idle for long and then all send") {
  limited_vms Vms(5, 1.3);
  Vms.Now += std::chrono::seconds(60);
  Vms.sendFor(milliseconds(10000));
  CHECK(mostInWindow(Vms.Sent) <= allowedInWindow(1.3));
}

TEST_CASE("The rate holds as VMs leave and join, or disagree about who is "
          "there") {
  for (const double PerSecond : {0.0, 1.0, 1.3, 10.0}) {
    CAPTURE(PerSecond);
    limited_vms Vms(6, PerSecond);
    for (const std::size_t Count : {6, 5, 4, 5, 6}) {
      Vms.share(Count);
      Vms.sendFor(milliseconds(1500));
    }
    // One VM still knows five, the others know four.
    Vms.share(4);
    Vms.Limits[4].setShare(0.2, Vms.Now);
    Vms.sendFor(milliseconds(10000));
    CHECK(mostInWindow(Vms.Sent) <= allowedInWindow(PerSecond));
  }
}

TEST_CASE("A limit rises, falls and ends as the endpoint says") {
  limited_vms Vms(1, 10);
  Vms.sendFor(milliseconds(4000));
  const auto SentAtTen = Vms.Sent.size();
  CHECK(SentAtTen >= 36);
  Vms.Limits[0].observe(1, Vms.Now, Vms.Now);
  Vms.sendFor(milliseconds(4000));
  CHECK(Vms.Sent.size() - SentAtTen <= 6);
  Vms.Limits[0].observe(std::nullopt, Vms.Now - Step, Vms.Now);
  CHECK(Vms.Limits[0].allows(Vms.Now));
  CHECK_FALSE(Vms.Limits[0].isLimited());
}

TEST_CASE("A response to an earlier request does not end the limit") {
  fleet_rate_limit Limit = limitedAt(1);
  Limit.observe(std::nullopt, Start - milliseconds(300),
                Start + milliseconds(100));
  CHECK(Limit.isLimited());
  Limit.observe(std::nullopt, Start + milliseconds(1), Start + milliseconds(2));
  CHECK_FALSE(Limit.isLimited());
}

TEST_CASE("A limit that is named and ended again and again gives no burst") {
  fleet_rate_limit Limit;
  int Sent = 0;
  for (steady_time Now = Start; Now < Start + milliseconds(4000); Now += Step) {
    Limit.observe(1.0, Now, Now);
    Limit.setShare(1, Now);
    if (Limit.allows(Now)) {
      Limit.consume(Now);
      ++Sent;
    }
    Limit.observe(std::nullopt, Now + milliseconds(1), Now + milliseconds(2));
  }
  CHECK(Sent == 0);
}

TEST_CASE("The newest statement of any VM counts") {
  fleet_rate_limit Limit = limitedAt(1);
  Limit.merge({2.0, Start - milliseconds(1)}, Start);
  CHECK(Limit.latest().PerSecond == 1);
  Limit.merge({2.0, Start + milliseconds(1)}, Start + milliseconds(9));
  CHECK(Limit.latest().PerSecond == 2);
  Limit.merge({std::nullopt, Start + milliseconds(2)}, Start + milliseconds(9));
  CHECK_FALSE(Limit.isLimited());
  Limit.merge({3.0, Start + milliseconds(1)}, Start + milliseconds(20));
  CHECK_FALSE(Limit.isLimited());
}

TEST_CASE("The next admission is known to VMs that share the rate only") {
  fleet_rate_limit Limit = limitedAt(0.5);
  CHECK(Limit.nextAdmission(Start) == Start + std::chrono::seconds(2));
  CHECK_FALSE(Limit.allows(Start + milliseconds(1999)));
  CHECK(Limit.allows(Start + milliseconds(2001)));
  Limit.setShare(0, Start);
  CHECK_FALSE(Limit.nextAdmission(Start));
  CHECK_FALSE(Limit.allows(Start + std::chrono::hours(1)));
}
