#pragma once

#include "LibPeer/rating_counts.h"

namespace azurehaven {

/// Whether a version under roll-out is shown to be, within a margin, no worse
/// than its incumbent in one class of work: in quality, in the share of answers
/// that are complete and in that of attempts that meet the latency targets.
/// False also if too little is known of it.
bool isNoWorse(const rating_counts &Version, const rating_counts &Incumbent);

} // namespace azurehaven
