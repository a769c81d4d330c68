#pragma once

#include <cstddef>
#include <string>

namespace azurehaven {

/// A response body that is buffered until it is complete. All bodies of a
/// process share a limit on memory.
class buffered_body {
public:
  /// TotalBytes: bytes buffered in all bodies, which this one keeps up to date.
  explicit buffered_body(std::size_t &TotalBytes) : TotalBytes(TotalBytes) {}
  ~buffered_body() { clear(); }
  buffered_body(const buffered_body &) = delete;
  buffered_body &operator=(const buffered_body &) = delete;

  /// Returns false, and keeps nothing of the bytes, if the body or all bodies
  /// together would exceed their limit.
  bool tryAppend(const std::string &Bytes);
  void clear();
  const std::string &text() const { return Text; }

private:
  std::size_t &TotalBytes;
  std::string Text;
};

} // namespace azurehaven
