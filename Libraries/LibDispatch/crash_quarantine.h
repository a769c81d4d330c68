#pragma once

#include "LibDispatch/crash_records.h"
#include "LibDispatch/crash_sequence.h"
#include "LibDispatch/request_fingerprint.h"
#include "LibDispatch/sound_families.h"

namespace azurehaven {

/// Counts endpoint crashes by the requests that were running on them, and
/// quarantines a request after several. A resend may differ in fields that also
/// tell sound requests from it, such as the query. So crashes and sound
/// responses are held against the request by all its fields, and by its
/// content; the content alone is refused only where no one request explains the
/// crashes and nothing sound has run. Not thread-safe.
class crash_quarantine {
public:
  /// Records a crash that this VM observed.
  void addLocal(const request_fingerprint &Request, const endpoint_id &Endpoint,
                crash_time Crash);
  /// Records what another VM knows. Returns whether it is news.
  bool merge(const crash_record &Record, steady_time Now);
  /// Records a complete response to the request: the earlier crashes under it
  /// had other causes, and the content alone causes none.
  void clear(const request_fingerprint &Request, steady_time Now);
  /// Records that a process start is alive after its alleged crash. Returns
  /// whether that is news.
  bool refuteEndpoint(const endpoint_id &Endpoint) {
    return Records.refuteEndpoint(Endpoint);
  }
  /// What changed by observations of this VM since the last call.
  std::vector<crash_record> takeNews() { return Records.takeNews(); }
  /// Crashes by all fields of the request and, where several have the same
  /// content, by that, which earlier builds know.
  const crash_records &records() const { return Records; }
  /// Whether the request is refused because too many endpoints crashed on it.
  bool isQuarantined(const request_fingerprint &Request) const;
  /// Drops what is long past.
  void expire(steady_time Now);

private:
  bool isExactQuarantined(std::uint64_t Exact) const;
  bool isContentQuarantined(const request_fingerprint &Request) const;
  /// Whether the crash under the content may be one of this family: a request
  /// of the family ran on the endpoint, or an earlier build has recorded it.
  bool mayBelongTo(request_family Family, std::uint64_t Content,
                   const endpoint_id &Endpoint) const;
  /// Whether one request ran on each of the endpoints as they crashed.
  bool hasOneCause(request_family Family,
                   const std::vector<crash_record> &Crashes) const;
  /// The crashes under requests of the family, refuted ones too, by all fields
  /// and by the content.
  std::vector<crash_record> familyCrashes(request_family Family,
                                          std::uint64_t Content) const;
  /// Records the family's crashes by their content once there are several, for
  /// earlier builds, the archive, and to tell that the family is sound.
  void recordContent(request_family Family, std::uint64_t Content,
                     steady_time Now);
  void refuteContent(request_family Family, std::uint64_t Content);

  crash_records Records;
  sound_families Sound;
};

} // namespace azurehaven
