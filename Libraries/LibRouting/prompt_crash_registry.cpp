#include "LibRouting/prompt_crash_registry.h"

namespace azurehaven {

void prompt_crash_registry::addCrash(const std::vector<segment_key> &Segments,
                                     const endpoint_id &Engine,
                                     const std::string &BootId,
                                     steady_time Now) {
  std::lock_guard Lock(Mutex);
  Quarantine.addLocal(Segments, endpoint_id(Engine.text() + "/" + BootId), Now);
}

void prompt_crash_registry::clear(const std::vector<segment_key> &Segments,
                                  steady_time Now) {
  std::lock_guard Lock(Mutex);
  Quarantine.clearLocal(Segments, Now);
}

bool prompt_crash_registry::isQuarantined(
    const std::vector<segment_key> &Segments) const {
  std::lock_guard Lock(Mutex);
  return Quarantine.isQuarantined(Segments);
}

std::size_t prompt_crash_registry::quarantinedCount() const {
  std::lock_guard Lock(Mutex);
  return Quarantine.quarantinedCount();
}

void prompt_crash_registry::takeNotices(heartbeat &Message, steady_time Now) {
  std::lock_guard Lock(Mutex);
  for (const crash_record &Record : Quarantine.takeNews())
    if (Record.Refutation == crash_refutation::None)
      Message.SegmentCrashes.push_back({Record.Fingerprint, Record.Endpoint});
  Message.ClearedSegments = Quarantine.takeNewlyCleared();
  Quarantine.expire(Now);
}

void prompt_crash_registry::mergeNotices(const heartbeat &Message,
                                         steady_time Now) {
  std::lock_guard Lock(Mutex);
  for (const crash_notice &Notice : Message.SegmentCrashes)
    Quarantine.merge({Notice.Fingerprint, Notice.Endpoint, Now}, Now);
  for (const segment_key Segment : Message.ClearedSegments)
    Quarantine.mergeCleared(Segment, Now);
}

} // namespace azurehaven
