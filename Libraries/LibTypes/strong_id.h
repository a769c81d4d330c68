#pragma once

#include <compare>
#include <functional>
#include <string>

namespace azurehaven {

/// A textual identifier without implicit conversions; Tag makes the identifiers
/// of different things different types.
template <typename Tag> class strong_id {
public:
  strong_id() = default;
  explicit strong_id(std::string Text) : Text(std::move(Text)) {}

  const std::string &text() const { return Text; }
  bool empty() const { return Text.empty(); }

  auto operator<=>(const strong_id &) const =
      default; // NOLINT(readability-identifier-naming)

private:
  std::string Text;
};

} // namespace azurehaven

template <typename Tag> struct std::hash<azurehaven::strong_id<Tag>> {
  std::size_t operator()(const azurehaven::strong_id<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.text());
  }
};
