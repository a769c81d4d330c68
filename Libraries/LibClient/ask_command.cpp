#include "LibClient/ask_command.h"

#include "LibClient/caller_client.h"
#include "LibClient/command_line.h"
#include "LibHttp/pooled_http_transport.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace azurehaven {

namespace {

constexpr const char *AskUsage = R"(Sends a request to the system as a caller.

Usage:
  azurehaven ask [--entry=IP:PORT] --key=KEY --class=CLASS [options] TEXT
  azurehaven ask [--entry=IP:PORT] --key=KEY --service=PATH [options] TEXT
  azurehaven ask (-h | --help)

Options:
  --entry=IP:PORT    Any entry VM; the others are discovered through it
                     [env: AZUREHAVEN_ENTRY]
  --key=KEY          The account's key
  --class=CLASS      The work class of the request
  --service=PATH     Path of a plain service, such as /booking/permits; TEXT is
                     the request body
  --may-repeat=YN    Whether the call may be retried, yes or no [default: no]
  --id=ID            Request id; a retry must use the same one
  --session=TOKEN    Session token; the request runs on the version of that
                     session
  --new-session      Start a session
  --whole            Request the response unstreamed
  --retries=N        Retries of a request that was not run [default: 3]
  --json             Print the response as JSON
  -h --help          Show this text
)";

void printResponse(const caller_response &Response, bool AsJson) {
  if (AsJson) {
    nlohmann::json Document = {
        {"status", Response.Status},
        {"whole", Response.IsComplete},
        {"text", Response.Text},
        {"version", Response.Version},
        {"request_id", Response.RequestId},
        {"session", Response.SessionToken},
        {"entry", Response.EntryAddress},
        {"price_micro_euros", Response.PriceMicroEuros},
        {"completion_tokens", Response.CompletionTokens},
        {"first_token_ms", Response.TimeToFirstToken.count()},
        {"whole_ms", Response.TotalTime.count()},
        {"error", Response.ErrorCode},
        {"message", Response.ErrorMessage},
        {"run", Response.ExecutionStatus}};
    std::cout << Document.dump(2, ' ', false,
                               nlohmann::json::error_handler_t::replace)
              << "\n";
    return;
  }
  if (!Response.Text.empty())
    std::cout << Response.Text << "\n";
  if (Response.IsComplete) {
    std::cout << "-- request " << Response.RequestId;
    if (!Response.Version.empty())
      std::cout << ", version " << Response.Version << ", "
                << Response.CompletionTokens << " tokens, "
                << Response.PriceMicroEuros << " micro-euros, first token "
                << Response.TimeToFirstToken.count() << " ms";
    std::cout << ", whole " << Response.TotalTime.count() << " ms, entry "
              << Response.EntryAddress << "\n";
    if (!Response.SessionToken.empty())
      std::cout << "-- session " << Response.SessionToken << "\n";
    return;
  }
  std::cerr << "azurehaven ask: " << Response.ErrorCode << " ("
            << Response.ExecutionStatus << "): " << Response.ErrorMessage;
  if (Response.RetryAfter)
    std::cerr << "; retry after " << Response.RetryAfter->count() << " ms";
  std::cerr << "\n";
}

/// Sends the request to the entry VMs in turn, until one responds with success
/// or with an error that is not retryable, or Retries retries have failed. A
/// request is retried only if it was not run and either the connection failed
/// or the error names a delay.
template <typename send_function>
caller_response sendWithRetries(const std::vector<entry_vm> &Entries,
                                long Retries, send_function Send) {
  caller_response Response;
  for (long Attempt = 0; Attempt <= Retries; ++Attempt) {
    const auto &Entry =
        Entries[static_cast<std::size_t>(Attempt) % Entries.size()];
    Response = Send(Entry.Address);
    const bool ShouldRetry =
        Response.ExecutionStatus == "not_run" &&
        (Response.RetryAfter || Response.ErrorCode == "connection_failed");
    if (Response.IsComplete || !ShouldRetry)
      return Response;
    if (Attempt < Retries && Response.RetryAfter)
      std::this_thread::sleep_for(*Response.RetryAfter);
  }
  return Response;
}

} // namespace

int runAskCommand(const std::vector<std::string> &Arguments) {
  command_line Line;
  if (auto Status = Line.parse(AskUsage, "ask", Arguments))
    return *Status;
  const std::string EntryText =
      Line.text("--entry", "AZUREHAVEN_ENTRY").value_or("");
  auto Entry = parseNetworkAddress(EntryText);
  if (isError(Entry)) {
    std::cerr << "azurehaven ask: --entry (AZUREHAVEN_ENTRY): "
              << errorOf(Entry).Message << "\n";
    return ExitUsage;
  }
  auto Retries = Line.integer("--retries", 0, 100);
  if (isError(Retries)) {
    std::cerr << "azurehaven ask: " << errorOf(Retries).Message << "\n";
    return ExitUsage;
  }
  const std::string MayRepeat = Line.text("--may-repeat").value_or("no");
  if (MayRepeat != "yes" && MayRepeat != "no") {
    std::cerr << "azurehaven ask: --may-repeat: \"" << MayRepeat
              << "\"; accepted: yes, no\n";
    return ExitUsage;
  }
  pooled_http_transport Transport;
  caller_client Client(Transport);
  auto Entries = Client.discover(valueOf(Entry));
  if (isError(Entries) || valueOf(Entries).empty()) {
    std::cerr << "azurehaven ask: no entry VM could be discovered through "
              << EntryText << "\n";
    return ExitFailure;
  }
  caller_request Request;
  Request.Key = *Line.text("--key");
  Request.Class = Line.text("--class").value_or("");
  Request.RequestId = Line.text("--id").value_or("");
  Request.SessionToken = Line.text("--session").value_or("");
  Request.StartsSession = Line.flag("--new-session");
  Request.IsStreamed = !Line.flag("--whole");
  Request.Text = *Line.text("TEXT");
  const auto Service = Line.text("--service");
  const caller_response Response = sendWithRetries(
      valueOf(Entries), valueOf(Retries), [&](const network_address &Address) {
        if (!Service)
          return Client.sendChat(Address, Request);
        return Client.callService(Address, Request.Key, Request.RequestId,
                                  *Service, Request.Text, MayRepeat == "yes");
      });
  printResponse(Response, Line.flag("--json"));
  return Response.IsComplete ? ExitSuccess : ExitFailure;
}

} // namespace azurehaven
