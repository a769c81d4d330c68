#include "LibRelay/buffered_body.h"

namespace azurehaven {

namespace {

constexpr std::size_t BodyLimitBytes = 8 << 20;
/// A quarter of the memory of a small VM.
constexpr std::size_t TotalLimitBytes = 64 << 20;

} // namespace

bool buffered_body::tryAppend(const std::string &Bytes) {
  const bool Fits = Text.size() + Bytes.size() <= BodyLimitBytes &&
                    TotalBytes + Bytes.size() <= TotalLimitBytes;
  if (!Fits)
    return false;
  Text += Bytes;
  TotalBytes += Bytes.size();
  return true;
}

void buffered_body::clear() {
  TotalBytes -= Text.size();
  Text = {};
}

} // namespace azurehaven
