#include "LibClient/operator_report.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

namespace azurehaven {

using nlohmann::json;

namespace {

using row = std::vector<std::string>;

void printTable(const std::vector<row> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      if (Column + 1 < Row.size())
        Line += std::string(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    std::cout << Line << "\n";
  }
}

std::string cell(const json &Item, const char *Name) {
  auto Found = Item.find(Name);
  if (Found == Item.end())
    return "-";
  if (Found->is_string())
    return Found->get<std::string>().empty() ? "-" : Found->get<std::string>();
  if (Found->is_array()) {
    std::string Joined;
    for (const auto &Element : *Found)
      Joined +=
          (Joined.empty() ? "" : ",") +
          (Element.is_string() ? Element.get<std::string>() : Element.dump());
    return Joined.empty() ? "-" : Joined;
  }
  if (Found->is_number_float()) {
    char Text[32];
    std::snprintf(Text, sizeof Text, "%.3f", Found->get<double>());
    return Text;
  }
  return Found->dump();
}

std::string timeCell(const json &Item) {
  const std::time_t Seconds = Item.value("at_ms", std::int64_t(0)) / 1000;
  std::tm CalendarTime{};
  gmtime_r(&Seconds, &CalendarTime);
  char Text[32];
  std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &CalendarTime);
  return Text;
}

void printColumns(const json &Items, const std::vector<const char *> &Names) {
  std::vector<row> Rows;
  Rows.emplace_back(Names.begin(), Names.end());
  for (const auto &Item : Items) {
    row Row;
    for (const char *Name : Names)
      Row.push_back(cell(Item, Name));
    Rows.push_back(std::move(Row));
  }
  printTable(Rows);
}

} // namespace

void printStatus(const json &Status) {
  std::cout << "vm " << cell(Status, "vm") << ", configuration "
            << cell(Status, "configuration") << ", current "
            << cell(Status, "current") << ", in flight "
            << cell(Status, "requests_in_flight") << "\n";
  std::cout << "roster " << cell(Status, "roster") << "\n";
  if (Status.contains("bills"))
    std::cout << "bills: " << cell(Status["bills"], "written") << " written, "
              << cell(Status["bills"], "unwritten") << " unwritten, "
              << cell(Status["bills"], "held_for_peers") << " held for peers\n";
  std::cout << "\n";
  printColumns(Status["entries"], {"vm", "domain", "address"});
  std::cout << "\n";
  for (const auto &Line : Status["endpoints"])
    std::cout << Line.get<std::string>() << "\n";
  std::cout << "\n";
  printColumns(Status["quality"],
               {"version", "class", "quality", "target", "ratings", "answers",
                "failures", "in_time", "late"});
}

void printConfiguration(const json &Configuration) {
  std::cout << "version " << cell(Configuration, "version") << "\n\n";
  printColumns(Configuration["classes"],
               {"id", "quality_target", "first_token_ms", "deadline_ms",
                "cost_target_micro_euros", "latency_weight", "exposure_weight",
                "priority"});
  std::cout << "\n";
  printColumns(Configuration["versions"],
               {"id", "state", "prompt_price", "completion_price"});
  std::cout << "\n";
  printColumns(Configuration["accounts"],
               {"id", "models", "versions", "share"});
  std::cout << "\n";
  printColumns(Configuration["services"], {"id", "idempotent", "call_price"});
}

void printAudit(const json &Records) {
  std::vector<row> Rows = {
      {"version", "at", "actor", "kind", "subject", "detail"}};
  for (const auto &Record : Records)
    Rows.push_back({cell(Record, "version"), timeCell(Record),
                    cell(Record, "actor"), cell(Record, "kind"),
                    cell(Record, "subject"), cell(Record, "detail")});
  printTable(Rows);
}

void printBills(const json &Bills) {
  std::vector<row> Rows = {{"at", "account", "request", "class", "served by",
                            "tokens", "price", "cost"}};
  std::int64_t Total = 0;
  for (const auto &Bill : Bills) {
    const std::string Version = cell(Bill, "version");
    Rows.push_back(
        {timeCell(Bill), cell(Bill, "account"), cell(Bill, "request"),
         cell(Bill, "class"), Version == "-" ? cell(Bill, "service") : Version,
         cell(Bill, "completion_tokens"), cell(Bill, "price_micro_euros"),
         cell(Bill, "cost_micro_euros")});
    Total += Bill.value("price_micro_euros", std::int64_t(0));
  }
  printTable(Rows);
  std::cout << Bills.size() << " bills, " << Total << " micro-euros\n";
}

void printExplanation(const json &Records) {
  for (const auto &Record : Records) {
    std::cout << "request " << cell(Record, "request") << " at "
              << cell(Record, "vm") << ", " << timeCell(Record) << "\n"
              << "account " << cell(Record, "account") << ", class "
              << cell(Record, "class") << ", configuration "
              << cell(Record, "configuration") << "\ncandidates:\n";
    for (const auto &Candidate : Record["candidates"])
      std::cout << "  " << cell(Candidate, "plan") << ": "
                << cell(Candidate, "verdict") << "\n";
    std::cout << "steps:\n";
    for (const auto &Step : Record["steps"])
      std::cout << "  " << Step.get<std::string>() << "\n";
    std::cout << "outcome: " << cell(Record, "outcome") << "\n\n";
  }
}

} // namespace azurehaven
