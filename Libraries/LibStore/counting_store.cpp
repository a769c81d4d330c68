#include "LibStore/counting_store.h"

namespace azurehaven {

const char *nameOf(store_purpose Purpose) {
  switch (Purpose) {
  case store_purpose::Configuration:
    return "configuration";
  case store_purpose::Bill:
    return "bill";
  case store_purpose::Claim:
    return "claim";
  case store_purpose::Audit:
    return "audit";
  }
  return "unknown";
}

namespace {

/// NotFound and Conflict are answers; only a missing answer is a failure.
bool isFailure(const error &Error) {
  return Error.Code == error_code::Unavailable ||
         Error.Code == error_code::OutcomeUnknown;
}

} // namespace

result<store_entry> counting_store::read(store_purpose Purpose,
                                         const std::string &Key) {
  ++countersOf(Purpose).Reads;
  auto Answer = Inner.read(Purpose, Key);
  if (isError(Answer) && isFailure(errorOf(Answer)))
    ++countersOf(Purpose).Failures;
  return Answer;
}

result<std::uint64_t> counting_store::compareAndSwap(store_purpose Purpose,
                                                     const std::string &Key,
                                                     const std::string &Value,
                                                     std::uint64_t Expected) {
  ++countersOf(Purpose).Writes;
  auto Answer = Inner.compareAndSwap(Purpose, Key, Value, Expected);
  if (isError(Answer) && isFailure(errorOf(Answer)))
    ++countersOf(Purpose).Failures;
  return Answer;
}

result<std::vector<store_entry>> counting_store::list(store_purpose Purpose,
                                                      const std::string &Prefix,
                                                      std::uint64_t After) {
  ++countersOf(Purpose).Reads;
  auto Answer = Inner.list(Purpose, Prefix, After);
  if (isError(Answer) && isFailure(errorOf(Answer)))
    ++countersOf(Purpose).Failures;
  return Answer;
}

store_call_counts counting_store::counts(store_purpose Purpose) const {
  const counters &Source = Counters[static_cast<std::size_t>(Purpose)];
  return {Source.Reads, Source.Writes, Source.Failures};
}

} // namespace azurehaven
