#include "LibClient/command_line.h"
#include "LibScenario/scenario_parser.h"
#include "LibScenario/scenario_runner.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace azurehaven;

namespace {

constexpr const char *Usage = R"(Runs one scenario against real processes.

Usage:
  azurehaven-scenario run --product=PATH --stand-in=PATH [options] FILE
  azurehaven-scenario check FILE
  azurehaven-scenario (-h | --help)

Options:
  --net=N        Third number of the loopback addresses used [default: 1]
  --logs=FOLDER  Where the processes' logs go; a temporary folder by default
)";

result<std::vector<statement>> readScenario(const std::string &FileName) {
  std::ifstream File(FileName);
  if (!File)
    return error{error_code::NotFound, FileName + ": cannot be read"};
  std::stringstream Text;
  Text << File.rdbuf();
  return parseScenario(Text.str(), FileName);
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  command_line Line;
  const std::string Command = Count > 1 ? Values[1] : "";
  const std::vector<std::string> Arguments(Values + std::min(Count, 2),
                                           Values + Count);
  if (auto Status = Line.parse(Usage, Command, Arguments))
    return *Status;
  const std::string FileName = *Line.text("FILE");
  auto Statements = readScenario(FileName);
  if (isError(Statements)) {
    std::cerr << errorOf(Statements).Message << "\n";
    return ExitUsage;
  }
  if (Line.flag("check"))
    return ExitSuccess;
  std::string Logs = Line.text("--logs").value_or("");
  if (Logs.empty()) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
    Logs = mkdtemp(Pattern.data());
  } else {
    std::filesystem::create_directories(Logs);
  }
  auto Net = Line.integer("--net", 1, 250);
  if (isError(Net)) {
    std::cerr << errorOf(Net).Message << "\n";
    return ExitUsage;
  }
  scenario_cluster Cluster({*Line.text("--product"), *Line.text("--stand-in")},
                           static_cast<int>(valueOf(Net)), Logs);
  scenario_runner Runner(Cluster);
  auto Played = Runner.run(valueOf(Statements));
  if (isError(Played)) {
    std::cerr << FileName << ": " << errorOf(Played).Message
              << "\nlogs: " << Logs << "\n";
    for (const std::string &Ended : Cluster.processes().describeEnded())
      std::cerr << Ended << "\n";
    return ExitFailure;
  }
  std::cout << FileName << ": as expected\n";
  return ExitSuccess;
}
