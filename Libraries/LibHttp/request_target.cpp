#include "LibHttp/request_target.h"

#include <algorithm>
#include <charconv>

namespace azurehaven {

namespace {

enum class plus_sign { Literal, Space };

std::string decode(std::string_view Text, plus_sign Plus) {
  std::string Decoded;
  Decoded.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Character = Text[Index];
    unsigned char Byte = 0;
    if (Character == '%' && Index + 2 < Text.size()) {
      const char *Begin = Text.data() + Index + 1;
      const auto [Stop, Code] = std::from_chars(Begin, Begin + 2, Byte, 16);
      if (Code == std::errc() && Stop == Begin + 2) {
        Decoded.push_back(static_cast<char>(Byte));
        Index += 2;
        continue;
      }
    }
    const bool IsSpace = Character == '+' && Plus == plus_sign::Space;
    Decoded.push_back(IsSpace ? ' ' : Character);
  }
  return Decoded;
}

} // namespace

request_target parseTarget(std::string_view Text) {
  request_target Target;
  const std::size_t Mark = Text.find('?');
  Target.Path = decode(Text.substr(0, Mark), plus_sign::Literal);
  if (Mark == std::string_view::npos)
    return Target;
  std::string_view Rest = Text.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Pair.size() + 1, Rest.size()));
    if (Pair.empty())
      continue;
    const std::size_t Equals = Pair.find('=');
    const std::string_view Value = Equals == std::string_view::npos
                                       ? std::string_view()
                                       : Pair.substr(Equals + 1);
    Target.Query.emplace(decode(Pair.substr(0, Equals), plus_sign::Space),
                         decode(Value, plus_sign::Space));
  }
  return Target;
}

} // namespace azurehaven
