#pragma once

#include "LibHttp/http_transport.h"
#include "LibHttp/server_sent_events.h"
#include "LibRouting/endpoint_table.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

struct engine_text {
  std::string Text;
};

struct engine_finish {
  token_count PromptTokens;
  token_count CompletionTokens;
  /// The engine's confidence in its response, 0 to 1.
  double Confidence = 1;
};

enum class engine_fault {
  /// Refused without running: the engine is at capacity or unavailable.
  Busy,
  /// Refused without running: the engine is shutting down.
  Leaving,
  /// No connection could be made.
  Unreachable,
  /// The connection broke or a read timed out.
  Broken,
  /// The response has an unexpected status, belongs to another request or
  /// version, or is malformed.
  Foreign,
};

const char *nameOf(engine_fault Fault);

struct engine_failure {
  engine_fault Fault = engine_fault::Broken;
  std::string Message;

  /// Whether the engine may have run a part of the request.
  bool mayHaveRun() const {
    return Fault == engine_fault::Broken || Fault == engine_fault::Foreign;
  }
};

using engine_event = std::variant<engine_text, engine_finish, engine_failure>;

/// One streamed response of an engine. Each chunk has to carry the attempt's id
/// and the requested version, and the stream has to end with its end marker.
/// Anything else fails the attempt, so that a late, misdelivered or truncated
/// response is never forwarded. Not thread-safe.
class engine_attempt {
public:
  struct parameters {
    std::string AttemptId;
    version_id Version;
    int Priority = 5;
    const nlohmann::json *CallerBody = nullptr;
    /// The text that the caller has received already.
    std::string ResumeText;
  };

  static std::variant<std::unique_ptr<engine_attempt>, engine_failure>
  open(http_transport &Transport, const network_address &Address,
       const parameters &Parameters, const http_timeouts &Timeouts);

  ~engine_attempt();

  engine_event next();
  /// The load that the engine reported in the response head, if any.
  std::optional<std::uint32_t> reportedLoad() const;

private:
  engine_attempt(std::unique_ptr<http_stream> Stream, std::string AttemptId,
                 version_id Version);
  std::optional<engine_event> parseEvent(const std::string &Data);

  std::unique_ptr<http_stream> Stream;
  const std::string AttemptId;
  const version_id Version;
  event_stream_parser Parser;
  std::optional<engine_finish> Finish;
  bool IsComplete = false;
};

/// Fetches an endpoint's status report: GET /status. Errors: Unavailable (no
/// connection could be made), OutcomeUnknown (no complete response arrived),
/// InvalidInput (another status than 200, or a malformed report).
result<endpoint_report> fetchEndpointReport(http_transport &Transport,
                                            const network_address &Address,
                                            milliseconds Timeout,
                                            connection_use Use);

} // namespace azurehaven
