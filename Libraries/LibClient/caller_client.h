#pragma once

#include "LibHttp/http_transport.h"
#include "LibTypes/units.h"

#include <functional>
#include <string>
#include <vector>

namespace azurehaven {

struct caller_question {
  std::string Key;
  std::string Class;
  std::string RequestId;
  std::string SessionToken;
  bool WantsSession = false;
  bool IsStreamed = true;
  std::string Text;
};

struct caller_answer {
  int Status = 0;
  std::string Text;
  std::string Version;
  std::string RequestId;
  std::string SessionToken;
  std::string ServedBy;
  std::int64_t PriceMicroEuros = 0;
  std::int64_t CompletionTokens = 0;
  milliseconds FirstToken{0};
  milliseconds Whole{0};
  /// Whether the end marker arrived.
  bool IsWhole = false;
  /// From a refusal; empty otherwise.
  std::string ErrorCode;
  std::string ErrorMessage;
  /// "not_run" or "may_have_run".
  std::string Run;
  std::optional<milliseconds> RetryAfter;
};

struct known_entry {
  std::string Vm;
  network_address Address;
};

/// A caller of the system: finds entry VMs and sends requests to them.
class caller_client {
public:
  /// Patience is the wait for each further part of an answer.
  explicit caller_client(http_transport &Transport,
                         milliseconds Patience = std::chrono::minutes(1))
      : Transport(Transport), Timeouts{milliseconds(1000), Patience} {}

  /// Asks one entry VM for all that may be used.
  result<std::vector<known_entry>> discover(const network_address &From);

  caller_answer ask(const network_address &Entry,
                    const caller_question &Question);
  caller_answer callService(const network_address &Entry,
                            const std::string &Key,
                            const std::string &RequestId,
                            const std::string &Path, const std::string &Body,
                            bool MayRepeat);

private:
  void readWhole(http_stream &Stream, caller_answer &Answer);
  void readEvents(http_stream &Stream, steady_time StartedAt,
                  caller_answer &Answer);

  http_transport &Transport;
  const http_timeouts Timeouts;
};

} // namespace azurehaven
