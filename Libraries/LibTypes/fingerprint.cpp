#include "LibTypes/fingerprint.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>

namespace azurehaven {

std::uint64_t fingerprintOf(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t rendezvousScore(std::string_view Key, std::string_view Node) {
  return fingerprintOf(Node, fingerprintOf(Key));
}

double rendezvousFraction(std::string_view Key, std::string_view Node) {
  // A double holds 53 bits exactly.
  constexpr int DroppedBits = 11;
  return std::ldexp(
      static_cast<double>(rendezvousScore(Key, Node) >> DroppedBits),
      DroppedBits - 64);
}

} // namespace azurehaven
