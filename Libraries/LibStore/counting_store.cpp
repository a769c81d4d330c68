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

/// NotFound and Conflict are valid responses of the store; only a call without
/// a valid response is a failure.
bool isFailure(const error &Error) {
  return Error.Code == error_code::Unavailable ||
         Error.Code == error_code::OutcomeUnknown;
}

} // namespace

result<store_entry> counting_store::read(store_purpose Purpose,
                                         const std::string &Key) {
  ++countersOf(Purpose).Reads;
  auto Result = Inner.read(Purpose, Key);
  if (isError(Result) && isFailure(errorOf(Result)))
    ++countersOf(Purpose).Failures;
  return Result;
}

result<std::uint64_t>
counting_store::compareAndSwap(store_purpose Purpose, const std::string &Key,
                               const std::string &Value,
                               std::uint64_t ExpectedRevision) {
  ++countersOf(Purpose).Writes;
  auto Result = Inner.compareAndSwap(Purpose, Key, Value, ExpectedRevision);
  if (isError(Result) && isFailure(errorOf(Result)))
    ++countersOf(Purpose).Failures;
  return Result;
}

result<std::vector<store_entry>>
counting_store::list(store_purpose Purpose, const std::string &Prefix,
                     std::uint64_t AfterRevision) {
  ++countersOf(Purpose).Reads;
  auto Result = Inner.list(Purpose, Prefix, AfterRevision);
  if (isError(Result) && isFailure(errorOf(Result)))
    ++countersOf(Purpose).Failures;
  return Result;
}

store_call_counts counting_store::counts(store_purpose Purpose) const {
  const counters &Source = Counters[static_cast<std::size_t>(Purpose)];
  return {Source.Reads, Source.Writes, Source.Failures};
}

} // namespace azurehaven
