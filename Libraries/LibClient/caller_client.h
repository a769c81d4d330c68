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
  /// The message of the role "system"; none if empty.
  std::string SystemText;
  /// An earlier message of the conversation; none if empty.
  std::string EarlierText;
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
  /// TotalTime if no streamed token arrived; 0 for a plain service or a failed
  /// connection.
  milliseconds TimeToFirstToken{0};
  milliseconds TotalTime{0};
  /// Whether a stream arrived up to its end marker, a whole chat response has
  /// status 200 and choices, or a plain service's response has no error code.
  bool IsComplete = false;
  /// Set if an error document arrived or the connection failed; a response that
  /// is incomplete for another reason has no code.
  std::string ErrorCode;
  std::string ErrorMessage;
  /// "not_run" or "may_have_run" if ErrorCode is set.
  std::string ExecutionStatus;
  std::optional<milliseconds> RetryAfter;
};

struct entry_vm {
  std::string Vm;
  network_address Address;
};

/// HTTP client of the caller API: discovers entry VMs and sends requests to
/// them.
class caller_client {
public:
  /// ReadTimeout bounds the wait for each further chunk of a response.
  explicit caller_client(http_transport &Transport,
                         milliseconds ReadTimeout = std::chrono::minutes(1))
      : Transport(Transport), Timeouts{milliseconds(1000), ReadTimeout} {}

  /// Returns the entry VMs that From lists.
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
