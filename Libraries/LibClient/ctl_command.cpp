#include "LibClient/ctl_command.h"

#include "LibClient/command_line.h"
#include "LibClient/operator_client.h"
#include "LibClient/operator_report.h"
#include "LibClient/request_trace.h"
#include "LibHttp/percent_encoding.h"
#include "LibHttp/pooled_http_transport.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr const char *CtlUsage = R"(Configures and inspects the system.

Usage:
  azurehaven ctl [options] class set NAME [--quality=Q] [--first-token-ms=MS]
                 [--deadline-ms=MS] [--cost=MICROEUROS] [--latency-weight=W]
                 [--exposure-weight=W] [--priority=P]
  azurehaven ctl [options] account set NAME [--key=KEY] [--models=LIST]
                 [--versions=LIST] [--share=S]
  azurehaven ctl [options] version set NAME [--prompt-price=MICROEUROS]
                 [--completion-price=MICROEUROS]
  azurehaven ctl [options] version (withdraw | restore) NAME [--reason=TEXT]
  azurehaven ctl [options] rollout (start | pause | resume | finish | roll-back)
                 NAME [--reason=TEXT]
  azurehaven ctl [options] service set NAME [--idempotent=YN]
                 [--call-price=MICROEUROS]
  azurehaven ctl [options] session-key rotate
  azurehaven ctl [options] apply FILE
  azurehaven ctl [options] (status | config | audit)
  azurehaven ctl [options] bills [--account=NAME]
  azurehaven ctl [options] explain [--log=FILE] REQUEST
  azurehaven ctl (-h | --help)

A version is written model@version. Prices are per 1,000 tokens or per call.
FILE holds a JSON array of {"kind", "body"}, which is applied atomically.

Options:
  --operator=IP:PORT     Operator address of any entry VM. Several, separated by
                         commas, are tried in turn; explain queries all
                         [env: AZUREHAVEN_OPERATOR]
  --actor=NAME           Author of the change [env: AZUREHAVEN_ACTOR]
  --base-version=N       The configuration version that the change is based on;
                         a conflict is reported if another change has modified
                         the same object since. By default the newest.
  --change-id=ID         Retry an earlier change whose outcome is unknown
  --quality=Q            Target mean rating, 0 to 1
  --first-token-ms=MS    Target time to first token, 95th percentile
  --deadline-ms=MS       Deadline of the complete response
  --cost=MICROEUROS      Target mean cost of a request
  --latency-weight=W     Weight of latency, 0 to 100
  --exposure-weight=W    Weight of exposure to unproven versions
  --priority=P           0 to 9; the lowest is shed first
  --key=KEY              The secret that the account's callers send
  --models=LIST          Models that the account may use, separated by commas
  --versions=LIST        Model versions that the account may use
  --share=S              Weight in the fair sharing of capacity
  --prompt-price=MICROEUROS      Price per 1,000 prompt tokens
  --completion-price=MICROEUROS  Price per 1,000 completion tokens
  --call-price=MICROEUROS        Price per call of a plain service
  --idempotent=YN        Whether calls may be retried, yes or no
  --reason=TEXT          Reason recorded in the audit trail
  --account=NAME         Only the bills of this account
  --log=FILE             Explain from the JSON log lines of this file instead of
                         querying the VMs; - reads standard input
  --json                 Print JSON
  -h --help              Show this text
)";

/// A command-line option and the field that it sets in the change.
struct field_flag {
  const char *Flag;
  const char *Field;
  enum class value_kind { Text, Number, Integer, List, YesNo } ValueKind;
};

using value_kind = field_flag::value_kind;

const std::vector<field_flag> ClassFlags = {
    {"--quality", "quality_target", value_kind::Number},
    {"--first-token-ms", "first_token_ms", value_kind::Integer},
    {"--deadline-ms", "deadline_ms", value_kind::Integer},
    {"--cost", "cost_target_micro_euros", value_kind::Integer},
    {"--latency-weight", "latency_weight", value_kind::Number},
    {"--exposure-weight", "exposure_weight", value_kind::Number},
    {"--priority", "priority", value_kind::Integer}};
const std::vector<field_flag> AccountFlags = {
    {"--key", "key", value_kind::Text},
    {"--models", "models", value_kind::List},
    {"--versions", "versions", value_kind::List},
    {"--share", "share", value_kind::Number}};
const std::vector<field_flag> VersionFlags = {
    {"--prompt-price", "prompt_price", value_kind::Integer},
    {"--completion-price", "completion_price", value_kind::Integer}};
const std::vector<field_flag> ServiceFlags = {
    {"--idempotent", "idempotent", value_kind::YesNo},
    {"--call-price", "call_price", value_kind::Integer}};

json splitList(const std::string &Text) {
  json Items = json::array();
  std::stringstream Stream(Text);
  std::string Item;
  while (std::getline(Stream, Item, ','))
    if (!Item.empty())
      Items.push_back(Item);
  return Items;
}

/// Values that don't parse are sent as text; the server then rejects them with
/// the name of the field.
json parseFieldValue(const field_flag &Flag, const std::string &Text) {
  switch (Flag.ValueKind) {
  case value_kind::Text:
    return Text;
  case value_kind::List:
    return splitList(Text);
  case value_kind::YesNo:
    if (Text == "yes" || Text == "no")
      return Text == "yes";
    return Text;
  case value_kind::Number:
  case value_kind::Integer: {
    json Number = json::parse(Text, nullptr, false);
    return Number.is_number() ? Number : json(Text);
  }
  }
  return Text;
}

/// Returns eight random hexadecimal digits for each word.
std::string randomHex(int Words) {
  std::random_device Device;
  std::string Text;
  for (int Word = 0; Word < Words; ++Word) {
    char Digits[16];
    std::snprintf(Digits, sizeof Digits, "%08x", Device());
    Text += Digits;
  }
  return Text;
}

int explainFromLog(const std::string &Path, const request_id &Request) {
  std::ifstream File;
  if (Path != "-") {
    File.open(Path);
    if (!File) {
      std::cerr << "azurehaven ctl: cannot open " << Path << "\n";
      return ExitFailure;
    }
  }
  const auto Trace = readRequestTrace(Path == "-" ? std::cin : File, Request);
  if (Trace.empty()) {
    std::cerr << "azurehaven ctl: the log contains no event of request "
              << Request.text() << "\n";
    return ExitFailure;
  }
  std::cout << formatRequestTrace(Trace);
  return ExitSuccess;
}

/// One invocation of the command.
class ctl_invocation {
public:
  ctl_invocation(const command_line &Line,
                 std::vector<network_address> Addresses)
      : Line(Line), Addresses(std::move(Addresses)) {}

  int run() {
    if (Line.flag("explain"))
      return explain();
    if (Line.flag("status"))
      return printDocument("/v1/status", printStatus);
    if (Line.flag("config"))
      return printDocument("/v1/config", printConfiguration);
    if (Line.flag("audit"))
      return printDocument("/v1/audit", printAudit);
    if (Line.flag("bills")) {
      const auto Account = Line.text("--account");
      return printDocument(
          "/v1/bills" +
              (Account ? "?account=" + percentEncode(*Account) : std::string()),
          printBills);
    }
    return submitChange();
  }

private:
  /// Queries the addresses in turn; returns the first response, or the last
  /// error if there is none.
  result<operator_response> get(const std::string &Path) {
    result<operator_response> Response =
        error{error_code::Unavailable, "no operator address"};
    for (const auto &Address : Addresses) {
      Response = operator_client(Transport, Address).get(Path);
      if (!isError(Response))
        return Response;
    }
    return Response;
  }

  int fail(const std::string &Message) const {
    std::cerr << "azurehaven ctl: " << Message << "\n";
    return ExitFailure;
  }

  int failWithResponse(const operator_response &Response) const {
    if (Line.flag("--json"))
      std::cout << Response.Body.dump(2) << "\n";
    std::string Message = "status " + std::to_string(Response.Status);
    if (Response.Body.is_object() && Response.Body.contains("error")) {
      const json &Error = Response.Body["error"];
      Message = Error.value("code", std::string()) + ": " +
                Error.value("message", std::string());
      if (Error.contains("changed"))
        Message += " (changed: " + Error.value("changed", std::string()) + ")";
      if (Error.contains("retry_after_ms"))
        Message += "; retry after " +
                   std::to_string(Error["retry_after_ms"].get<long>()) + " ms";
    }
    return fail(Message);
  }

  int printDocument(const std::string &Path, void (*Print)(const json &)) {
    auto Response = get(Path);
    if (isError(Response))
      return fail(errorOf(Response).Message);
    if (valueOf(Response).Status != 200)
      return failWithResponse(valueOf(Response));
    if (Line.flag("--json"))
      std::cout << valueOf(Response).Body.dump(2) << "\n";
    else
      Print(valueOf(Response).Body);
    return ExitSuccess;
  }

  int explain() {
    const std::string Path =
        "/v1/explain?request=" + percentEncode(*Line.text("REQUEST"));
    json Records = json::array();
    for (const auto &Address : Addresses) {
      auto Response = operator_client(Transport, Address).get(Path);
      if (isError(Response) || valueOf(Response).Status != 200) {
        std::cerr
            << "azurehaven ctl: " << Address.text()
            << " did not return its records; the explanation is incomplete\n";
        continue;
      }
      for (auto &Record : valueOf(Response).Body["records"]) {
        Record["vm"] = valueOf(Response).Body["vm"];
        Records.push_back(Record);
      }
    }
    if (Records.empty())
      return fail("no queried VM returned a record of this request");
    if (Line.flag("--json"))
      std::cout << Records.dump(2) << "\n";
    else
      printExplanation(Records);
    return ExitSuccess;
  }

  json makeBody(const std::vector<field_flag> &Flags) const {
    json Body = {{"id", *Line.text("NAME")}};
    for (const auto &Flag : Flags)
      if (auto Text = Line.text(Flag.Flag))
        Body[Flag.Field] = parseFieldValue(Flag, *Text);
    return Body;
  }

  json makeStateBody(const char *State) const {
    json Body = {{"id", *Line.text("NAME")}, {"state", State}};
    if (auto Reason = Line.text("--reason"))
      Body["reason"] = *Reason;
    return Body;
  }

  /// Returns the kind and body of the requested change.
  result<std::pair<std::string, json>> requestedChange() const {
    using kind_and_body = std::pair<std::string, json>;
    if (Line.flag("class"))
      return kind_and_body("put_class", makeBody(ClassFlags));
    if (Line.flag("account"))
      return kind_and_body("put_account", makeBody(AccountFlags));
    if (Line.flag("service"))
      return kind_and_body("put_service", makeBody(ServiceFlags));
    if (Line.flag("withdraw") || Line.flag("roll-back"))
      return kind_and_body("set_version_state", makeStateBody("withdrawn"));
    if (Line.flag("restore") || Line.flag("finish"))
      return kind_and_body("set_version_state", makeStateBody("active"));
    if (Line.flag("start") || Line.flag("resume"))
      return kind_and_body("set_version_state", makeStateBody("rolling-out"));
    if (Line.flag("pause"))
      return kind_and_body("set_version_state", makeStateBody("paused"));
    if (Line.flag("version"))
      return kind_and_body("put_version", makeBody(VersionFlags));
    if (Line.flag("session-key"))
      return kind_and_body("rotate_session_key",
                           {{"id", randomHex(2)}, {"secret", randomHex(8)}});
    const std::string File = Line.text("FILE").value_or("");
    std::ifstream Stream(File);
    json Body = json::parse(Stream, nullptr, false);
    if (!Stream.is_open() || Body.is_discarded())
      return error{error_code::InvalidInput,
                   "FILE: \"" + File + "\"; accepted: a readable JSON file"};
    return kind_and_body("batch", std::move(Body));
  }

  result<std::uint64_t> baseVersion() {
    if (Line.text("--base-version")) {
      TRY(std::int64_t Given, Line.integer("--base-version", 0, INT64_MAX));
      return static_cast<std::uint64_t>(Given);
    }
    TRY(operator_response Response, get("/v1/config"));
    return Response.Body.value("version", std::uint64_t(0));
  }

  int submitChange() {
    auto KindAndBody = requestedChange();
    if (isError(KindAndBody))
      return fail(errorOf(KindAndBody).Message);
    auto Base = baseVersion();
    if (isError(Base))
      return fail(errorOf(Base).Message);
    const std::string Id =
        Line.text("--change-id").value_or("ctl-" + randomHex(4));
    const json Change = {
        {"change", Id},
        {"actor",
         Line.text("--actor", "AZUREHAVEN_ACTOR").value_or("operator")},
        {"kind", valueOf(KindAndBody).first},
        {"body", valueOf(KindAndBody).second},
        {"base_version", valueOf(Base)}};
    result<operator_response> Response =
        error{error_code::Unavailable, "no operator address"};
    for (const auto &Address : Addresses) {
      Response = operator_client(Transport, Address).submit(Change);
      if (!isError(Response))
        break;
    }
    if (isError(Response))
      return fail(errorOf(Response).Message + " (change id " + Id + ")");
    const operator_response &Received = valueOf(Response);
    if (Received.Status != 200 && Received.Status != 202)
      return failWithResponse(Received);
    if (Line.flag("--json"))
      std::cout << Received.Body.dump(2) << "\n";
    else
      std::cout << "version " << Received.Body.value("version", 0) << " "
                << Received.Body.value("standing", std::string()) << "\n";
    return ExitSuccess;
  }

  const command_line &Line;
  const std::vector<network_address> Addresses;
  pooled_http_transport Transport;
};

} // namespace

int runCtlCommand(const std::vector<std::string> &Arguments) {
  command_line Line;
  if (auto Status = Line.parse(CtlUsage, "ctl", Arguments))
    return *Status;
  if (const auto Log = Line.text("--log"); Log && Line.flag("explain"))
    return explainFromLog(*Log, request_id(*Line.text("REQUEST")));
  std::vector<network_address> Addresses;
  const std::string Text =
      Line.text("--operator", "AZUREHAVEN_OPERATOR").value_or("");
  for (const auto &Item : splitList(Text)) {
    auto Address = parseNetworkAddress(Item.get<std::string>());
    if (isError(Address)) {
      std::cerr << "azurehaven ctl: --operator (AZUREHAVEN_OPERATOR): "
                << errorOf(Address).Message << "\n";
      return ExitUsage;
    }
    Addresses.push_back(valueOf(Address));
  }
  if (Addresses.empty()) {
    std::cerr << "azurehaven ctl: --operator (AZUREHAVEN_OPERATOR): missing; "
                 "accepted: IP:PORT, several separated by commas\n";
    return ExitUsage;
  }
  return ctl_invocation(Line, std::move(Addresses)).run();
}

} // namespace azurehaven
