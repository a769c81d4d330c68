#include "LibDispatch/request_fingerprint.h"

#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

// Bits of the hash by all fields, from the highest on. What is equal in all
// fields but by chance is so in all 64; few records share a family, so that its
// bits may be fewer.
constexpr unsigned ContentBits = 28;
constexpr unsigned HostBits = 12;
constexpr unsigned FamilyBits = ContentBits + HostBits;
constexpr unsigned DetailBits = 64 - FamilyBits;

/// An odd number with as many ones as zeros, so that the highest bits of a
/// product depend on all bits of the other factor.
constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15;

constexpr std::uint64_t highestBits(std::uint64_t Hash, unsigned Bits) {
  return (Hash * Multiplier) >> (64 - Bits);
}

/// Appends fields so that no two lists of fields give the same text.
void addField(std::string &Text, std::string_view Field) {
  Text += std::to_string(Field.size()) + ":";
  Text += Field;
}

std::string detailsOf(const dispatch_request &Request) {
  std::string Text;
  addField(Text, Request.Method);
  addField(Text, Request.Query.value_or(""));
  addField(Text, Request.Query ? "?" : "");
  addField(Text, Request.RequestedModel);
  addField(Text, std::to_string(Request.PromptTokens));
  addField(Text, std::to_string(Request.OutputTokens));
  for (const prompt_segment &Segment : Request.Prompt) {
    addField(Text, Segment.Id);
    addField(Text, std::to_string(Segment.Tokens));
  }
  return Text;
}

} // namespace

request_fingerprint::request_fingerprint(std::uint64_t Content,
                                         std::uint64_t Host,
                                         std::uint64_t Details)
    : Content(Content),
      Exact(firstExactOf(Content) | highestBits(Host, HostBits) << DetailBits |
            highestBits(Details, DetailBits)) {}

std::uint64_t request_family::firstExact() const { return Hash << DetailBits; }

std::uint64_t request_family::lastExact() const {
  return firstExact() | (~std::uint64_t{0} >> FamilyBits);
}

request_family request_fingerprint::familyOf(std::uint64_t Exact) {
  return {Exact >> DetailBits};
}

std::uint64_t request_fingerprint::firstExactOf(std::uint64_t Content) {
  return highestBits(Content, ContentBits) << (64 - ContentBits);
}

std::uint64_t request_fingerprint::lastExactOf(std::uint64_t Content) {
  return firstExactOf(Content) | (~std::uint64_t{0} >> ContentBits);
}

request_fingerprint fingerprintOf(const dispatch_request &Request,
                                  const client_account_id &Account,
                                  const std::string &Body) {
  const std::uint64_t Content = fingerprintOf(
      Body, fingerprintOf(Request.Path, fingerprintOf(Account.text())));
  return {Content, fingerprintOf(Request.Host),
          fingerprintOf(detailsOf(Request))};
}

} // namespace azurehaven
