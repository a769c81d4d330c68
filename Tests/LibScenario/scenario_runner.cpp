#include "LibScenario/scenario_runner.h"

#include "LibClient/operator_client.h"
#include "LibScenario/eventually.h"

#include <csignal>
#include <random>
#include <set>
#include <thread>

namespace azurehaven {

using nlohmann::json;

namespace {

/// Far above the duration of any awaited event, also on a busy machine.
constexpr milliseconds EventTimeout{60000};
constexpr std::size_t LoadCallers = 6;
/// Response timeout of each send of a soak booking.
constexpr milliseconds SoakResponseTimeout{3000};
const std::string AccountKey = "pindos-key";

error failure(const std::string &Message) {
  return {error_code::Internal, Message};
}

json version(const char *Id, int Prompt, int Completion) {
  return {{"kind", "put_version"},
          {"body",
           {{"id", Id},
            {"prompt_price", Prompt},
            {"completion_price", Completion}}}};
}

json workClass(const char *Id, double Quality, int FirstToken, int Deadline) {
  return {{"kind", "put_class"},
          {"body",
           {{"id", Id},
            {"quality_target", Quality},
            {"first_token_ms", FirstToken},
            {"deadline_ms", Deadline},
            {"cost_target_micro_euros", 1000}}}};
}

/// The initial configuration: three models, two work classes, two client
/// accounts and a booking service.
json initialConfiguration() {
  return json::array(
      {version("scree@1", 20, 60),
       version("ridge@1", 80, 240),
       version("summit@1", 400, 1200),
       workClass("survey", 0.95, 5000, 60000),
       workClass("lookup", 0.5, 5000, 60000),
       {{"kind", "put_account"},
        {"body",
         {{"id", "pindos"},
          {"key", AccountKey},
          {"models", {"scree", "ridge", "summit"}}}}},
       {{"kind", "put_account"},
        {"body",
         {{"id", "taygetos"}, {"key", "taygetos-key"}, {"models", {"ridge"}}}}},
       {{"kind", "put_service"},
        {"body",
         {{"id", "booking"}, {"idempotent", false}, {"call_price", 500}}}},
       {{"kind", "rotate_session_key"},
        {"body",
         {{"id", "first"}, {"secret", "0123456789abcdef0123456789abcdef"}}}}});
}

} // namespace

scenario_runner::scenario_runner(scenario_cluster &Cluster)
    : Cluster(Cluster), Expectations(Cluster, Record) {}

status scenario_runner::run(const std::vector<statement> &Statements) {
  TRY_STATUS(startCluster());
  for (const auto &Statement : Statements) {
    auto Done = runOne(Statement);
    if (isError(Done))
      return failure("line " + std::to_string(Statement.Line) + " (" +
                     Statement.Verb + "): " + errorOf(Done).Message);
  }
  return success{};
}

status scenario_runner::startCluster() {
  TRY_STATUS(Cluster.startPlatform());
  for (const auto &Name : Cluster.entryNames())
    TRY_STATUS(Cluster.startEntry(Name));
  const auto AreReady = [this]() -> status {
    for (const auto &Name : Cluster.entryNames()) {
      TRY(json Ready, Cluster.getFromOperator(Name, "/readyz"));
      if (!Ready.value("ready", false))
        return failure(Name + " is not ready");
    }
    return success{};
  };
  TRY_STATUS(eventually(AreReady));
  operator_client Operator(Cluster.transport(),
                           Cluster.operatorAddress("entry-1"));
  TRY(operator_response Response,
      Operator.submit({{"change", "first-targets"},
                       {"actor", "scenario"},
                       {"kind", "batch"},
                       {"body", initialConfiguration()}}));
  if (Response.Status != 200)
    return failure("the initial configuration was refused: " +
                   Response.Body.dump());
  return eventually([this]() -> status {
    for (const auto &Name : Cluster.entryNames()) {
      TRY(json Status, Cluster.getFromOperator(Name, "/v1/status"));
      if (Status["roster"].size() != Cluster.entryNames().size())
        return failure("the roster is " + Status["roster"].dump());
      for (const auto &Line : Status["endpoints"])
        if (Line.get<std::string>().find("unreported") != std::string::npos)
          return failure("an endpoint has not reported its status yet");
    }
    return success{};
  });
}

status scenario_runner::runOne(const statement &Statement) {
  static const std::map<std::string, step> Steps = {
      {"start", &scenario_runner::startEntries},
      {"kill", &scenario_runner::signalProcesses},
      {"freeze", &scenario_runner::signalProcesses},
      {"resume", &scenario_runner::signalProcesses},
      {"stop", &scenario_runner::signalProcesses},
      {"await-exit", &scenario_runner::awaitExit},
      {"cut", &scenario_runner::setLink},
      {"heal", &scenario_runner::setLink},
      {"set", &scenario_runner::setSwitch},
      {"list", &scenario_runner::setListed},
      {"change", &scenario_runner::change},
      {"ask", &scenario_runner::ask},
      {"book", &scenario_runner::book},
      {"join", &scenario_runner::join},
      {"load", &scenario_runner::load},
      {"mark", &scenario_runner::mark},
      {"rate", &scenario_runner::rate},
      {"faults", &scenario_runner::injectFaults},
      {"hold", &scenario_runner::hold},
      {"expect", &scenario_runner::expect}};
  return (this->*Steps.at(Statement.Verb))(Statement);
}

status scenario_runner::expect(const statement &Statement) {
  return Expectations.check(Statement);
}

status scenario_runner::startEntries(const statement &Statement) {
  for (const auto &Name : Statement.Words) {
    if (!Cluster.isEntry(Name))
      return failure("only entry VMs can be started");
    TRY_STATUS(Cluster.startEntry(Name));
  }
  return success{};
}

status scenario_runner::signalProcesses(const statement &Statement) {
  static const std::map<std::string, int> Signals = {{"kill", SIGKILL},
                                                     {"freeze", SIGSTOP},
                                                     {"resume", SIGCONT},
                                                     {"stop", SIGTERM}};
  for (const auto &Name : Statement.Words)
    TRY_STATUS(Cluster.processes().signal(Name, Signals.at(Statement.Verb)));
  return success{};
}

status scenario_runner::awaitExit(const statement &Statement) {
  for (const auto &Name : Statement.Words) {
    TRY(int Status, Cluster.processes().awaitExit(Name, EventTimeout));
    if (Status != 0)
      return failure(Name + " ended with status " + std::to_string(Status));
  }
  return success{};
}

status scenario_runner::setLink(const statement &Statement) {
  const bool IsCut = Statement.Verb == "cut";
  for (const auto &From : Cluster.entryNames()) {
    const std::string &Left = Statement.Words[0];
    const std::string &Right = Statement.Words[1];
    if (Left != "all" && Left != From)
      continue;
    if (Right != "all") {
      TRY_STATUS(Cluster.setLink(From, Right, IsCut));
      continue;
    }
    for (const auto &To : Cluster.entryNames())
      if (To != From)
        TRY_STATUS(Cluster.setLink(From, To, IsCut));
  }
  return success{};
}

status scenario_runner::setSwitch(const statement &Statement) {
  for (const auto &[Name, Value] : Statement.Options) {
    json Parsed = json::parse(Value, nullptr, false);
    if (Parsed.is_discarded())
      Parsed = Value;
    const auto Targets = Statement.Words[0] == "engines" ? Cluster.engineNames()
                         : Statement.Words[0] == "services"
                             ? Cluster.serviceNames()
                             : std::vector<std::string>{Statement.Words[0]};
    for (const auto &Target : Targets)
      TRY_STATUS(Cluster.setSwitch(Target, Name, Parsed));
  }
  return success{};
}

status scenario_runner::setListed(const statement &Statement) {
  return Cluster.setListed(Statement.Words[0], Statement.Words[1]);
}

status scenario_runner::rate(const statement &Statement) {
  return Cluster.setSwitch("rating", Statement.Words[0],
                           json::parse(Statement.Words[1]));
}

std::string scenario_runner::versionNamed(const std::string &Word) const {
  constexpr std::string_view Prefix = "version-of:";
  if (!Word.starts_with(Prefix))
    return Word;
  return Record.Responses.at(Word.substr(Prefix.size())).Version;
}

json scenario_runner::changeBody(const statement &Statement) const {
  const std::string &Kind = Statement.Words[1];
  json Change = {{"change", Statement.Words[0]},
                 {"actor", Statement.option("actor", "scenario")}};
  static const std::map<std::string, const char *> States = {
      {"withdraw", "withdrawn"},
      {"restore", "active"},
      {"roll-out", "rolling-out"},
      {"pause", "paused"}};
  auto State = States.find(Kind);
  if (State != States.end()) {
    Change["kind"] = "set_version_state";
    Change["body"] = {{"id", versionNamed(Statement.Words[2])},
                      {"state", State->second}};
  } else {
    Change["kind"] = Kind;
    Change["body"] = json::parse(Statement.option("body"), nullptr, false);
  }
  if (Statement.Options.contains("base"))
    Change["base_version"] =
        Record.Changes.at(Statement.option("base")).Body.value("version", 0);
  return Change;
}

status scenario_runner::change(const statement &Statement) {
  const std::string Entry = Statement.option("at", "entry-1");
  auto Sent = Cluster.transport().send(
      Cluster.operatorAddress(Entry),
      {"POST",
       "/v1/changes",
       {{"Content-Type", "application/json"}},
       changeBody(Statement).dump()},
      {milliseconds(1000), milliseconds(30000)}, connection_use::Fresh);
  scenario_record::change_result Result;
  if (auto *Response = std::get_if<http_response>(&Sent)) {
    Result.Status = Response->Status;
    Result.Body = json::parse(Response->Body, nullptr, false);
  }
  Record.Changes[Statement.Words[0]] = std::move(Result);
  return success{};
}

void scenario_runner::launch(const statement &Statement,
                             std::function<caller_response()> Request) {
  const std::string &Name = Statement.Words[0];
  if (Statement.option("background") == "yes")
    Running[Name] = std::async(std::launch::async, std::move(Request));
  else
    Record.Responses[Name] = Request();
}

status scenario_runner::ask(const statement &Statement) {
  caller_request ChatRequest;
  ChatRequest.Key = Statement.option("account", "pindos") + "-key";
  ChatRequest.Class = Statement.option("class", "survey");
  ChatRequest.RequestId = Statement.option("id", Statement.Words[0]);
  ChatRequest.Text = Statement.option("text", "question " + Statement.Words[0]);
  ChatRequest.SystemText = Statement.option("system");
  ChatRequest.EarlierText = Statement.option("context");
  ChatRequest.IsStreamed = Statement.option("stream", "yes") == "yes";
  ChatRequest.StartsSession = Statement.option("new-session") == "yes";
  if (Statement.Options.contains("session"))
    ChatRequest.SessionToken =
        Record.Responses[Statement.option("session")].SessionToken;
  const auto Address = Cluster.callerAddress(Statement.option("at", "entry-1"));
  launch(Statement, [this, ChatRequest, Address] {
    return caller_client(Cluster.transport()).sendChat(Address, ChatRequest);
  });
  return success{};
}

status scenario_runner::book(const statement &Statement) {
  const std::string Id = Statement.option("id", Statement.Words[0]);
  const std::string Body = Statement.option("body", "{\"permit\":1}");
  const auto Address = Cluster.callerAddress(Statement.option("at", "entry-1"));
  Record.Bookings.push_back(Id);
  launch(Statement, [this, Id, Body, Address] {
    return caller_client(Cluster.transport())
        .callService(Address, AccountKey, Id, "/booking/permits", Body, false);
  });
  return success{};
}

status scenario_runner::join(const statement &Statement) {
  for (const auto &Name : Statement.Words) {
    auto Found = Running.find(Name);
    if (Found == Running.end())
      return failure("no background request has the name " + Name);
    Record.Responses[Name] = Found->second.get();
    Running.erase(Found);
  }
  return success{};
}

status scenario_runner::load(const statement &Statement) {
  if (Statement.Words[0] == "start") {
    std::vector<network_address> Entries;
    for (const auto &Name : Cluster.entryNames())
      Entries.push_back(Cluster.callerAddress(Name));
    Load = std::make_unique<background_load>(Cluster.transport(), Entries);
    Load->start(LoadCallers, Statement.option("class", "survey"));
    return success{};
  }
  if (!Load)
    return failure("no load is running");
  if (Statement.Words[0] == "stop") {
    Record.LoadResponses = Load->stop();
    Load.reset();
    return success{};
  }
  // "load more" waits until the callers have received this many further
  // responses.
  const std::size_t Wanted =
      Load->responseCount() + std::stoul(Statement.option("answers", "50"));
  return eventually([&]() -> status {
    if (Load->responseCount() >= Wanted)
      return success{};
    return failure("the load does not make progress");
  });
}

/// hold MS: keeps a fault active for at least this long, for example a freeze
/// longer than every lease. Doesn't wait for an event: a longer hold gives the
/// same result.
status scenario_runner::hold(const statement &Statement) {
  std::this_thread::sleep_for(milliseconds(std::stol(Statement.Words[0])));
  return success{};
}

status scenario_runner::mark(const statement &Statement) {
  std::map<std::string, std::uint64_t> Served;
  for (const char *Version :
       {"scree@1", "scree@2", "ridge@1", "ridge@2", "summit@1", "any"}) {
    TRY(Served[Version], Cluster.servedCount(Version));
  }
  for (const auto &Engine : Cluster.engineNames()) {
    TRY(json Stats, Cluster.stats(Engine));
    Served[Engine] = Stats.value("requests", std::uint64_t(0));
  }
  Record.Marks[Statement.Words[0]] = std::move(Served);
  return success{};
}

/// faults COUNT seed=N: injects random faults one after the other while
/// bookings and the load continue. After each fault, all active faults are
/// undone with a probability of one half; after the last, always.
status scenario_runner::injectFaults(const statement &Statement) {
  const std::size_t Count = std::stoul(Statement.Words[0]);
  std::mt19937_64 Random(std::stoull(Statement.option("seed", "1")));
  const auto Entries = Cluster.entryNames();
  const auto RandomEntry = [&] { return Entries[Random() % Entries.size()]; };
  std::vector<std::function<status()>> Undos;
  // Entry VMs that are currently killed or frozen.
  std::set<std::string> Halted;
  const auto UndoAll = [&]() -> status {
    for (auto &Undo : Undos)
      TRY_STATUS(Undo());
    Undos.clear();
    Halted.clear();
    return success{};
  };
  for (std::size_t Fault = 0; Fault < Count; ++Fault) {
    const std::string Entry = RandomEntry();
    const std::string Other = RandomEntry();
    const auto Kind = Random() % 7;
    switch (Kind) {
    case 0:
    case 1:
      if (!Halted.insert(Entry).second)
        break;
      TRY_STATUS(
          Cluster.processes().signal(Entry, Kind == 0 ? SIGKILL : SIGSTOP));
      Undos.push_back([this, Entry, Kind] {
        return Kind == 0 ? Cluster.startEntry(Entry)
                         : Cluster.processes().signal(Entry, SIGCONT);
      });
      break;
    case 2:
      TRY_STATUS(Cluster.setLink(Entry, "store", true));
      Undos.push_back(
          [this, Entry] { return Cluster.setLink(Entry, "store", false); });
      break;
    case 3:
      if (Entry == Other)
        break;
      TRY_STATUS(Cluster.setLink(Entry, Other, true));
      Undos.push_back([this, Entry, Other] {
        return Cluster.setLink(Entry, Other, false);
      });
      break;
    case 4:
      TRY_STATUS(Cluster.setSwitch("store", "down", 1));
      Undos.push_back([this] { return Cluster.setSwitch("store", "down", 0); });
      break;
    case 5:
      TRY_STATUS(Cluster.setSwitch("store", "lose_answers", 3));
      break;
    default:
      TRY_STATUS(Cluster.setSwitch("booking-1", "cut", 1));
      break;
    }
    // Sends a booking during the fault, then resends it, whatever the response,
    // through a VM drawn at random.
    const std::string Id = "soak-" + std::to_string(Fault);
    Record.Bookings.push_back(Id);
    for (const std::string &Through : {Other, RandomEntry()})
      (void)caller_client(Cluster.transport(), SoakResponseTimeout)
          .callService(Cluster.callerAddress(Through), AccountKey, Id,
                       "/booking/permits", "{}", false);
    if (Random() % 2 == 0 || Fault + 1 == Count)
      TRY_STATUS(UndoAll());
  }
  for (const auto &Id : Record.Bookings) {
    TRY(std::uint64_t Runs, Cluster.runCount(Id));
    if (Runs > 1)
      return failure(Id + " ran " + std::to_string(Runs) + " times");
  }
  return success{};
}

} // namespace azurehaven
