#include "LibDispatch/peer_contacts.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Several notices are sent in this time.
constexpr milliseconds LatestNoticeAge{1000};
constexpr milliseconds Lifetime{60000};

} // namespace

evidence_coverage peer_contacts::coverage(const std::vector<vm_id> &Others,
                                          steady_time Now) const {
  evidence_coverage Coverage;
  Coverage.Members += Others.size();
  for (const vm_id &Vm : Others) {
    const auto Found = HeardAt.find(Vm);
    if (Found == HeardAt.end() || Now - Found->second > LatestNoticeAge)
      continue;
    ++Coverage.Heard;
    Coverage.OldestAge =
        std::max(Coverage.OldestAge,
                 std::chrono::duration_cast<milliseconds>(Now - Found->second));
  }
  return Coverage;
}

void peer_contacts::expire(steady_time Now) {
  std::erase_if(HeardAt, [&](const auto &Entry) {
    return Now - Entry.second > Lifetime;
  });
}

} // namespace azurehaven
