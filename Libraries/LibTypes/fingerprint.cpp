#include "LibTypes/fingerprint.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurehaven {

std::uint64_t fingerprintOf(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t rendezvousScore(std::string_view Key, std::string_view Node) {
  return fingerprintOf(Node, fingerprintOf(Key));
}

} // namespace azurehaven
