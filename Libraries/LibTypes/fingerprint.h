#pragma once

#include <cstdint>
#include <string_view>

namespace azurehaven {

/// A 64-bit non-cryptographic hash (XXH3); the same text and seed give the same
/// hash on every VM.
std::uint64_t fingerprintOf(std::string_view Text, std::uint64_t Seed = 0);

/// Rendezvous (highest random weight) score of a node for a key.
std::uint64_t rendezvousScore(std::string_view Key, std::string_view Node);
/// The same score scaled to [0, 1).
double rendezvousFraction(std::string_view Key, std::string_view Node);

} // namespace azurehaven
