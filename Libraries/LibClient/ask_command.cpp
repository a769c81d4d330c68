#include "LibClient/ask_command.h"

#include "LibClient/caller_client.h"
#include "LibClient/command_line.h"
#include "LibHttp/pooled_http_transport.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace azurehaven {

namespace {

constexpr const char *AskUsage = R"(Asks the system as a caller does.

Usage:
  azurehaven ask [--entry=IP:PORT] --key=KEY --class=CLASS [options] TEXT
  azurehaven ask [--entry=IP:PORT] --key=KEY --service=PATH [options] TEXT
  azurehaven ask (-h | --help)

Options:
  --entry=IP:PORT    Any entry VM; the rest is found out from it
                     [env: AZUREHAVEN_ENTRY]
  --key=KEY          The account's key
  --class=CLASS      The class of work
  --service=PATH     A plain service's call, such as /booking/permits; TEXT is
                     the request's body
  --may-repeat=YN    Whether the call may be sent again, yes or no [default: no]
  --id=ID            Request id; a resend has to carry the same one
  --session=TOKEN    Stay on the version of this session
  --new-session      Begin a session
  --whole            Ask for the answer in one piece
  --retries=N        Resends of a request that was not run [default: 3]
  --json             Print for programs
  -h --help          Show this text
)";

void printAnswer(const caller_answer &Answer, bool AsJson) {
  if (AsJson) {
    nlohmann::json Document = {{"status", Answer.Status},
                               {"whole", Answer.IsWhole},
                               {"text", Answer.Text},
                               {"version", Answer.Version},
                               {"request_id", Answer.RequestId},
                               {"session", Answer.SessionToken},
                               {"entry", Answer.ServedBy},
                               {"price_micro_euros", Answer.PriceMicroEuros},
                               {"completion_tokens", Answer.CompletionTokens},
                               {"first_token_ms", Answer.FirstToken.count()},
                               {"whole_ms", Answer.Whole.count()},
                               {"error", Answer.ErrorCode},
                               {"message", Answer.ErrorMessage},
                               {"run", Answer.Run}};
    std::cout << Document.dump(2, ' ', false,
                               nlohmann::json::error_handler_t::replace)
              << "\n";
    return;
  }
  if (!Answer.Text.empty())
    std::cout << Answer.Text << "\n";
  if (Answer.IsWhole) {
    std::cout << "-- request " << Answer.RequestId;
    if (!Answer.Version.empty())
      std::cout << ", version " << Answer.Version << ", "
                << Answer.CompletionTokens << " tokens, "
                << Answer.PriceMicroEuros << " micro-euros, first token "
                << Answer.FirstToken.count() << " ms";
    std::cout << ", whole " << Answer.Whole.count() << " ms, entry "
              << Answer.ServedBy << "\n";
    if (!Answer.SessionToken.empty())
      std::cout << "-- session " << Answer.SessionToken << "\n";
    return;
  }
  std::cerr << "azurehaven ask: " << Answer.ErrorCode << " (" << Answer.Run
            << "): " << Answer.ErrorMessage;
  if (Answer.RetryAfter)
    std::cerr << "; retry after " << Answer.RetryAfter->count() << " ms";
  std::cerr << "\n";
}

/// Asks one entry after the other as long as the request was not run.
template <typename Sender>
caller_answer sendWithRetries(const std::vector<known_entry> &Entries,
                              long Retries, Sender Send) {
  caller_answer Answer;
  for (long Try = 0; Try <= Retries; ++Try) {
    const auto &Entry = Entries[static_cast<std::size_t>(Try) % Entries.size()];
    Answer = Send(Entry.Address);
    const bool IsWorthAgain =
        Answer.Run == "not_run" &&
        (Answer.RetryAfter || Answer.ErrorCode == "connection_failed");
    if (Answer.IsWhole || !IsWorthAgain)
      return Answer;
    if (Try < Retries && Answer.RetryAfter)
      std::this_thread::sleep_for(*Answer.RetryAfter);
  }
  return Answer;
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
    std::cerr << "azurehaven ask: no entry VM can be had from " << EntryText
              << "\n";
    return ExitFailure;
  }
  caller_question Question;
  Question.Key = *Line.text("--key");
  Question.Class = Line.text("--class").value_or("");
  Question.RequestId = Line.text("--id").value_or("");
  Question.SessionToken = Line.text("--session").value_or("");
  Question.WantsSession = Line.flag("--new-session");
  Question.IsStreamed = !Line.flag("--whole");
  Question.Text = *Line.text("TEXT");
  const auto Service = Line.text("--service");
  const caller_answer Answer = sendWithRetries(
      valueOf(Entries), valueOf(Retries), [&](const network_address &Address) {
        if (!Service)
          return Client.ask(Address, Question);
        return Client.callService(Address, Question.Key, Question.RequestId,
                                  *Service, Question.Text, MayRepeat == "yes");
      });
  printAnswer(Answer, Line.flag("--json"));
  return Answer.IsWhole ? ExitSuccess : ExitFailure;
}

} // namespace azurehaven
