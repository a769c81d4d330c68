#include "LibControl/configuration_writer.h"

#include "LibConfig/configuration_codec.h"

#include <cstdio>

namespace azurehaven {

namespace {

constexpr int SwapAttemptLimit = 8;
/// Each change writes the audit records of the latest changes, not only its
/// own: if a writer crashes between a change and its audit record, the next
/// change fills the gap.
constexpr std::size_t AuditRecordsPerChange = 2;

std::string auditKey(std::uint64_t Version) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%012llu",
                static_cast<unsigned long long>(Version));
  return AuditPrefix + Text;
}

} // namespace

result<configuration_writer::stored_configuration>
configuration_writer::readWithRevision() {
  auto Entry = Store.read(store_purpose::Configuration, ConfigurationKey);
  if (isError(Entry)) {
    if (errorOf(Entry).Code == error_code::NotFound)
      return stored_configuration{};
    return error{error_code::Unavailable, errorOf(Entry).Message};
  }
  TRY(configuration Decoded, decodeConfiguration(valueOf(Entry).Value));
  return stored_configuration{std::move(Decoded), valueOf(Entry).Revision};
}

result<configuration> configuration_writer::read() {
  TRY(stored_configuration Stored, readWithRevision());
  return std::move(Stored.Configuration);
}

result<configuration>
configuration_writer::submit(const configuration_change &Change,
                             unix_millis ChangedAt) {
  bool MayHaveWritten = false;
  for (int Attempt = 0; Attempt < SwapAttemptLimit; ++Attempt) {
    auto Stored = readWithRevision();
    if (isError(Stored)) {
      if (MayHaveWritten)
        return error{error_code::OutcomeUnknown, errorOf(Stored).Message};
      return errorOf(Stored);
    }
    auto &[Current, Revision] = valueOf(Stored);
    if (findChange(Current, Change.Id))
      return std::move(Current);
    TRY(configuration Next, applyChange(Current, Change, ChangedAt));
    auto Written =
        Store.compareAndSwap(store_purpose::Configuration, ConfigurationKey,
                             encodeConfiguration(Next).dump(), Revision);
    if (!isError(Written)) {
      writeAudit(Next);
      return Next;
    }
    const error_code Code = errorOf(Written).Code;
    if (Code == error_code::Unavailable && !MayHaveWritten)
      return errorOf(Written);
    // The write may have been applied although its response was lost. A retry
    // that expects the same revision can't take effect as well; the read at
    // the start of the next attempt shows whether the write was applied.
    if (Code == error_code::OutcomeUnknown)
      MayHaveWritten = true;
  }
  return error{MayHaveWritten ? error_code::OutcomeUnknown
                              : error_code::Unavailable,
               "too many concurrent changes"};
}

void configuration_writer::writeAudit(const configuration &Configuration) {
  const auto &Recent = Configuration.RecentChanges;
  const std::size_t First = Recent.size() > AuditRecordsPerChange
                                ? Recent.size() - AuditRecordsPerChange
                                : 0;
  for (std::size_t Index = First; Index < Recent.size(); ++Index) {
    // Errors are ignored: the next change writes the record again, and the
    // configuration itself holds it in RecentChanges.
    (void)Store.compareAndSwap(
        store_purpose::Audit, auditKey(Recent[Index].Version),
        encodeAuditRecord(Recent[Index]).dump(), AbsentRevision);
  }
}

} // namespace azurehaven
