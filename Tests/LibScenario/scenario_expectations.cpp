#include "LibScenario/scenario_expectations.h"

#include "LibScenario/eventually.h"

#include <algorithm>

namespace azurehaven {

using nlohmann::json;

namespace {

error failure(const std::string &Message) {
  return {error_code::Internal, Message};
}

std::string describe(const caller_response &Response) {
  return "status " + std::to_string(Response.Status) + ", whole " +
         (Response.IsComplete ? "yes" : "no") + ", version " +
         Response.Version + ", code " + Response.ErrorCode + ", run " +
         Response.ExecutionStatus + ", message " + Response.ErrorMessage;
}

} // namespace

status scenario_expectations::check(const statement &Statement) {
  static const std::map<std::string, expectation> Expectations = {
      {"answer", &scenario_expectations::expectResponse},
      {"change", &scenario_expectations::expectChange},
      {"bills", &scenario_expectations::expectBills},
      {"runs", &scenario_expectations::expectRuns},
      {"served", &scenario_expectations::expectServed},
      {"entry", &scenario_expectations::expectEntry},
      {"discovery", &scenario_expectations::expectDiscovery},
      {"load", &scenario_expectations::expectLoad},
      {"version", &scenario_expectations::expectVersionState},
      {"reaches", &scenario_expectations::expectReaches},
      {"engine", &scenario_expectations::expectEngine},
      {"leaving", &scenario_expectations::expectEndpointState},
      {"staying", &scenario_expectations::expectEndpointState},
      {"limited", &scenario_expectations::expectEndpointState},
      {"unlimited", &scenario_expectations::expectEndpointState},
      {"breakdowns", &scenario_expectations::expectCrashes},
      {"crash-causing", &scenario_expectations::expectCrashCausing},
      {"crash-causing-prompts", &scenario_expectations::expectCrashCausing}};
  auto Found = Expectations.find(Statement.Words[0]);
  if (Found == Expectations.end())
    return failure("unknown expectation " + Statement.Words[0]);
  return (this->*Found->second)(Statement);
}

/// expect answer NAME whole|refused [version=] [not-version=] [same-as=]
/// [code=] [run=] [retry=yes|no] [text=]
status scenario_expectations::expectResponse(const statement &Statement) {
  auto Found = Record.Responses.find(Statement.Words[1]);
  if (Found == Record.Responses.end())
    return failure("no response named " + Statement.Words[1]);
  const caller_response &Response = Found->second;
  const bool WantsWhole =
      Statement.Words.size() > 2 && Statement.Words[2] == "whole";
  bool IsGood = Response.IsComplete == WantsWhole;
  for (const auto &[Name, Value] : Statement.Options) {
    if (Name == "version")
      IsGood &= Response.Version == Value;
    else if (Name == "not-version")
      IsGood &= Response.Version != Value;
    else if (Name == "same-as")
      IsGood &= Response.Version == Record.Responses[Value].Version;
    else if (Name == "code")
      IsGood &= Response.ErrorCode == Value;
    else if (Name == "run")
      IsGood &= Response.ExecutionStatus == Value;
    else if (Name == "retry")
      IsGood &= Response.RetryAfter.has_value() == (Value == "yes");
    else if (Name == "text")
      IsGood &= Response.Text.find(Value) != std::string::npos;
    else
      return failure("unknown option " + Name);
  }
  if (!IsGood)
    return failure("observed: " + describe(Response));
  return success{};
}

/// expect change ID accepted|written|refused [code=] [message=]
status scenario_expectations::expectChange(const statement &Statement) {
  const scenario_record::change_result &Result =
      Record.Changes[Statement.Words[1]];
  const std::string &Wanted = Statement.Words[2];
  const std::string Outcome = Result.Status == 200   ? "accepted"
                              : Result.Status == 202 ? "written"
                                                     : "refused";
  const json Error = Result.Body.is_object()
                         ? Result.Body.value("error", json::object())
                         : json::object();
  const bool IsGood =
      Outcome == Wanted &&
      (!Statement.Options.contains("code") ||
       Error.value("code", "") == Statement.option("code")) &&
      Error.value("message", "").find(Statement.option("message")) !=
          std::string::npos;
  if (!IsGood)
    return failure("observed: " + std::to_string(Result.Status) + " " +
                   Result.Body.dump());
  return success{};
}

/// expect bills REQUEST count=N
status scenario_expectations::expectBills(const statement &Statement) {
  const std::size_t Wanted = std::stoul(Statement.option("count", "1"));
  return eventually([&]() -> status {
    TRY(auto Counts, Cluster.billCounts());
    const std::size_t Seen = Counts[Statement.Words[1]];
    if (Seen == Wanted)
      return success{};
    return failure("observed: " + std::to_string(Seen) + " bills");
  });
}

/// expect runs REQUEST count=N: waits for that many executions and fails on
/// more.
status scenario_expectations::expectRuns(const statement &Statement) {
  const std::uint64_t Wanted = std::stoul(Statement.option("count", "1"));
  std::uint64_t Seen = 0;
  TRY_STATUS(eventually([&]() -> status {
    TRY(Seen, Cluster.runCount(Statement.Words[1]));
    if (Seen >= Wanted)
      return success{};
    return failure("observed: " + std::to_string(Seen) + " runs");
  }));
  if (Seen == Wanted)
    return success{};
  return failure("observed: " + std::to_string(Seen) + " runs");
}

/// expect served VERSION|any since=MARK count=N: compares the count at once.
/// With more-than=N instead: waits until more requests were accepted.
status scenario_expectations::expectServed(const statement &Statement) {
  const std::string &Version = Statement.Words[1];
  const bool WantsMore = Statement.Options.contains("more-than");
  const std::uint64_t Bound =
      std::stoul(Statement.option(WantsMore ? "more-than" : "count", "0"));
  const auto Check = [&]() -> status {
    TRY(std::uint64_t Served, Cluster.servedCount(Version));
    Served -= Record.Marks[Statement.option("since")][Version];
    if (WantsMore ? Served > Bound : Served == Bound)
      return success{};
    return failure("observed: " + std::to_string(Served) + " requests");
  };
  return WantsMore ? eventually(Check) : Check();
}

/// expect entry NAME ready|stale
status scenario_expectations::expectEntry(const statement &Statement) {
  const bool WantsReady = Statement.Words[2] == "ready";
  return eventually([&]() -> status {
    TRY(json Ready, Cluster.getFromOperator(Statement.Words[1], "/readyz"));
    if (Ready.value("ready", false) == WantsReady)
      return success{};
    return failure("observed: " + Ready.dump());
  });
}

/// expect discovery ENTRY with=VM, or without=VM
status scenario_expectations::expectDiscovery(const statement &Statement) {
  const bool WantsIt = Statement.Options.contains("with");
  const std::string Vm = Statement.option(WantsIt ? "with" : "without");
  return eventually([&]() -> status {
    TRY(auto Entries, caller_client(Cluster.transport())
                          .discover(Cluster.callerAddress(Statement.Words[1])));
    const bool HasIt =
        std::any_of(Entries.begin(), Entries.end(),
                    [&](const entry_vm &Entry) { return Entry.Vm == Vm; });
    if (HasIt == WantsIt)
      return success{};
    return failure(Vm + (HasIt ? " is listed" : " is not listed"));
  });
}

/// expect load honest: every complete response is billed once, no request
/// twice.
/// expect load whole: also, every request received a complete response.
status scenario_expectations::expectLoad(const statement &Statement) {
  if (Record.LoadResponses.empty())
    return failure("the load received no responses");
  if (Statement.Words[1] == "whole") {
    for (const auto &Response : Record.LoadResponses)
      if (!Response.IsComplete)
        return failure(Response.RequestId + " at " + Response.EntryAddress +
                       ": " + describe(Response));
  }
  return eventually([&]() -> status {
    TRY(auto Counts, Cluster.billCounts());
    std::size_t WholeCount = 0;
    for (const auto &Response : Record.LoadResponses) {
      const std::size_t Bills = Counts[Response.RequestId];
      WholeCount += Response.IsComplete;
      if (Bills > 1 || (Response.IsComplete && Bills != 1))
        return failure(Response.RequestId + " has " + std::to_string(Bills) +
                       " bills: " + describe(Response));
    }
    if (WholeCount == 0)
      return failure("no request received a complete response");
    return success{};
  });
}

/// expect version VERSION active|withdrawn|...
status scenario_expectations::expectVersionState(const statement &Statement) {
  return eventually([&]() -> status {
    TRY(json Configuration, Cluster.getFromAnyOperator("/v1/config"));
    for (const auto &Version : Configuration["versions"])
      if (Version["id"] == Statement.Words[1] &&
          Version["state"] == Statement.Words[2])
        return success{};
    return failure("observed: " + Configuration["versions"].dump());
  });
}

/// expect reaches ENTRY CHANGE: waits until the change is in force at that
/// entry VM.
status scenario_expectations::expectReaches(const statement &Statement) {
  const auto Wanted = Record.Changes[Statement.Words[2]].Body.value(
      "version", std::uint64_t(0));
  return eventually([&]() -> status {
    TRY(json Configuration,
        Cluster.getFromOperator(Statement.Words[1], "/v1/config"));
    if (Wanted > 0 &&
        Configuration.value("version", std::uint64_t(0)) >= Wanted)
      return success{};
    return failure("observed: version " + Configuration["version"].dump());
  });
}

/// expect engine NAME since=MARK count=N
status scenario_expectations::expectEngine(const statement &Statement) {
  const std::string &Name = Statement.Words[1];
  TRY(json Stats, Cluster.stats(Name));
  const auto Served = Stats.value("requests", std::uint64_t(0)) -
                      Record.Marks[Statement.option("since")][Name];
  if (Served == std::stoul(Statement.option("count", "0")))
    return success{};
  return failure("observed: " + std::to_string(Served) + " requests");
}

/// expect leaving|staying|limited|unlimited ENGINE: waits until every running
/// entry VM shows the engine in that state.
status scenario_expectations::expectEndpointState(const statement &Statement) {
  const std::string &State = Statement.Words[0];
  const bool IsWanted = State == "leaving" || State == "limited";
  const char *Mark =
      State == "limited" || State == "unlimited" ? " limit=" : " leaving";
  return eventually([&]() -> status {
    for (const auto &Entry : Cluster.entryNames()) {
      if (!Cluster.processes().isRunning(Entry))
        continue;
      TRY(json Status, Cluster.getFromOperator(Entry, "/v1/status"));
      for (const auto &Item : Status["endpoints"]) {
        const auto Line = Item.get<std::string>();
        if (Line.starts_with(Statement.Words[1] + " ") &&
            (Line.find(Mark) != std::string::npos) != IsWanted)
          return failure(Entry + " does not show the expected state: " + Line);
      }
    }
    return success{};
  });
}

/// expect crash-causing|crash-causing-prompts ENTRY count=N
status scenario_expectations::expectCrashCausing(const statement &Statement) {
  const char *Field = Statement.Words[0] == "crash-causing"
                          ? "crash_causing"
                          : "crash_causing_prompts";
  return eventually([&]() -> status {
    TRY(json Status, Cluster.getFromOperator(Statement.Words[1], "/v1/status"));
    if (Status.value(Field, std::size_t(0)) ==
        std::stoul(Statement.option("count")))
      return success{};
    return failure("observed: " + Status[Field].dump());
  });
}

/// expect breakdowns count=N, over all engines
status scenario_expectations::expectCrashes(const statement &Statement) {
  std::uint64_t Total = 0;
  for (const auto &Engine : Cluster.engineNames()) {
    TRY(json Stats, Cluster.stats(Engine));
    Total += Stats.value("breakdowns", std::uint64_t(0));
  }
  if (Total == std::stoul(Statement.option("count")))
    return success{};
  return failure("observed: " + std::to_string(Total) + " breakdowns");
}

} // namespace azurehaven
