#include "LibRouting/decision_log.h"

namespace azurehaven {

namespace {

constexpr std::size_t MaximumRecords = 5000;

} // namespace

void decision_log::add(decision_record Record) {
  std::lock_guard Lock(Mutex);
  Records.push_back(std::move(Record));
  if (Records.size() > MaximumRecords)
    Records.pop_front();
}

std::vector<decision_record>
decision_log::find(const request_id &Request) const {
  std::lock_guard Lock(Mutex);
  std::vector<decision_record> Found;
  for (const auto &Record : Records)
    if (Record.Request == Request)
      Found.push_back(Record);
  return Found;
}

} // namespace azurehaven
