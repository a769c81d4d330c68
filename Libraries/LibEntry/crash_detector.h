#pragma once

#include "LibEntry/chat_request.h"
#include "LibEntry/entry_services.h"

namespace azurehaven {

/// Follows the attempts of one request, one after the other, and records which
/// engines crashed under it, as a whole and under the segments of its prompt.
/// Not thread-safe.
class crash_detector {
public:
  crash_detector(const entry_services &Services, const chat_request &Request)
      : Services(Services), Request(Request) {}

  void onSent(const chosen_endpoint &NewEngine);
  void onHead() { HasHead = true; }
  void onText();
  void onComplete();
  /// Asks the engine of a broken attempt for its status. Records a crash
  /// against the request if the engine no longer listens or has restarted; if
  /// it may still run, the request is not to blame. Returns whether it has
  /// crashed.
  bool detectCrash();

  /// The reason for which the request must not be sent, if there is one.
  std::optional<refusal_reason> refusalReason() const;

private:
  result<endpoint_report> probe() const;

  const entry_services &Services;
  const chat_request &Request;
  chosen_endpoint Engine;
  bool HasHead = false;
  /// Chunks of text that the attempt has returned.
  unsigned TextCount = 0;
};

} // namespace azurehaven
