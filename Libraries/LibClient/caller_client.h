#pragma once

#include "LibHttp/http_transport.h"
#include "LibTypes/units.h"

#include <functional>
#include <string>
#include <vector>

namespace azurehaven {

struct caller_request {
  std::string Key;
  std::string Class;
  std::string RequestId;
  std::string SessionToken;
  bool StartsSession = false;
  bool IsStreamed = true;
  std::string Text;
};

struct caller_response {
  int Status = 0;
  std::string Text;
  std::string Version;
  std::string RequestId;
  std::string SessionToken;
  std::string EntryAddress;
  std::int64_t PriceMicroEuros = 0;
  std::int64_t CompletionTokens = 0;
  milliseconds TimeToFirstToken{0};
  milliseconds TotalTime{0};
  /// Whether the end marker arrived.
  bool IsComplete = false;
  /// From a refusal; empty otherwise.
  std::string ErrorCode;
  std::string ErrorMessage;
  /// "not_run" or "may_have_run".
  std::string ExecutionStatus;
  std::optional<milliseconds> RetryAfter;
};

struct entry_vm {
  std::string Vm;
  network_address Address;
};

/// A caller of the system: finds entry VMs and sends requests to them.
class caller_client {
public:
  /// ReadTimeout is the wait for each further part of an answer.
  explicit caller_client(http_transport &Transport,
                         milliseconds ReadTimeout = std::chrono::minutes(1))
      : Transport(Transport), Timeouts{milliseconds(1000), ReadTimeout} {}

  /// Asks one entry VM for all that may be used.
  result<std::vector<entry_vm>> discover(const network_address &From);

  caller_response sendChat(const network_address &Entry,
                           const caller_request &Request);
  caller_response callService(const network_address &Entry,
                              const std::string &Key,
                              const std::string &RequestId,
                              const std::string &Path, const std::string &Body,
                              bool MayRepeat);

private:
  void readCompleteBody(http_stream &Stream, caller_response &Response);
  void readEvents(http_stream &Stream, steady_time StartedAt,
                  caller_response &Response);

  http_transport &Transport;
  const http_timeouts Timeouts;
};

} // namespace azurehaven
