#include "LibScenario/scenario_parser.h"

#include <tao/pegtl.hpp>

#include <algorithm>
#include <set>

namespace azurehaven {

std::string statement::option(const std::string &Name,
                              const std::string &Default) const {
  auto Found = Options.find(Name);
  return Found == Options.end() ? Default : Found->second;
}

namespace {

namespace pegtl = tao::pegtl;

// clang-format off
struct comment : pegtl::seq<pegtl::one<'#'>, pegtl::until<pegtl::at<pegtl::eolf>>> {};
struct verb : pegtl::plus<pegtl::sor<pegtl::lower, pegtl::one<'-'>>> {};
struct quoted_text : pegtl::star<pegtl::not_one<'"', '\n'>> {};
struct quoted : pegtl::if_must<pegtl::one<'"'>, quoted_text, pegtl::one<'"'>> {};
struct braced_text : pegtl::seq<pegtl::one<'{'>, pegtl::until<pegtl::at<pegtl::seq<pegtl::one<'}'>, pegtl::sor<pegtl::blank, pegtl::eolf>>>, pegtl::not_one<'\n'>>, pegtl::one<'}'>> {};
struct bare : pegtl::plus<pegtl::not_one<' ', '\t', '\n', '\r', '"', '#', '='>> {};
struct name : pegtl::plus<pegtl::sor<pegtl::alnum, pegtl::one<'-', '_'>>> {};
struct value : pegtl::sor<quoted, braced_text, bare> {};
struct option : pegtl::seq<name, pegtl::one<'='>, pegtl::must<value>> {};
struct word : bare {};
struct argument : pegtl::sor<option, word> {};
struct arguments : pegtl::star<pegtl::plus<pegtl::blank>, pegtl::not_at<pegtl::sor<pegtl::eolf, pegtl::one<'#'>>>, pegtl::must<argument>> {};
struct line : pegtl::seq<verb, arguments, pegtl::star<pegtl::blank>, pegtl::opt<comment>> {};
struct any_line : pegtl::seq<pegtl::star<pegtl::blank>, pegtl::opt<pegtl::sor<comment, line>>> {};
struct scenario : pegtl::must<pegtl::seq<pegtl::list<any_line, pegtl::eol>, pegtl::eof>> {};
// clang-format on

/// The statements parsed so far and the option being parsed.
struct parse_state {
  std::vector<statement> Statements;
  std::string OptionName;
};

template <typename Rule> struct action : pegtl::nothing<Rule> {};

template <> struct action<verb> {
  template <typename Input>
  static void apply(const Input &Matched, parse_state &State) {
    statement Statement;
    Statement.Line = Matched.position().line;
    Statement.Verb = Matched.string();
    State.Statements.push_back(std::move(Statement));
  }
};

template <> struct action<name> {
  template <typename Input>
  static void apply(const Input &Matched, parse_state &State) {
    State.OptionName = Matched.string();
  }
};

template <> struct action<value> {
  template <typename Input>
  static void apply(const Input &Matched, parse_state &State) {
    std::string Text = Matched.string();
    if (Text.size() >= 2 && Text.front() == '"')
      Text = Text.substr(1, Text.size() - 2);
    State.Statements.back().Options[State.OptionName] = std::move(Text);
  }
};

template <> struct action<word> {
  template <typename Input>
  static void apply(const Input &Matched, parse_state &State) {
    State.Statements.back().Words.push_back(Matched.string());
  }
};

/// The number of words that a verb takes.
struct verb_rule {
  std::size_t Least;
  std::size_t Most;
};

const std::map<std::string, verb_rule> VerbRules = {
    {"start", {1, 5}},  {"kill", {1, 5}},   {"freeze", {1, 5}},
    {"resume", {1, 5}}, {"stop", {1, 5}},   {"await-exit", {1, 5}},
    {"cut", {2, 2}},    {"heal", {2, 2}},   {"set", {1, 1}},
    {"list", {2, 2}},   {"change", {2, 3}}, {"ask", {1, 1}},
    {"book", {1, 1}},   {"join", {1, 9}},   {"expect", {1, 4}},
    {"load", {1, 1}},   {"mark", {1, 1}},   {"faults", {1, 1}},
    {"hold", {1, 1}},   {"rate", {2, 2}}};

error errorAt(const std::string &File, std::size_t Line,
              const std::string &Expected) {
  return {error_code::InvalidInput,
          File + ":" + std::to_string(Line) + ": " + Expected};
}

std::optional<error> checkStatement(const statement &Statement,
                                    const std::string &File) {
  auto Rule = VerbRules.find(Statement.Verb);
  if (Rule == VerbRules.end()) {
    std::string Known;
    for (const auto &Entry : VerbRules)
      Known += (Known.empty() ? "" : ", ") + Entry.first;
    return errorAt(File, Statement.Line,
                   "unknown verb \"" + Statement.Verb +
                       "\"; expected one of: " + Known);
  }
  const std::size_t Count = Statement.Words.size();
  if (Count < Rule->second.Least || Count > Rule->second.Most)
    return errorAt(File, Statement.Line,
                   "\"" + Statement.Verb + "\" has " + std::to_string(Count) +
                       " words; expected " +
                       std::to_string(Rule->second.Least) + " to " +
                       std::to_string(Rule->second.Most));
  return std::nullopt;
}

} // namespace

result<std::vector<statement>> parseScenario(const std::string &Text,
                                             const std::string &FileName) {
  parse_state State;
  pegtl::memory_input Input(Text, FileName);
  // PEGTL reports a mismatch only by exception.
  try {
    pegtl::parse<scenario, action>(Input, State);
  } catch (const pegtl::parse_error &Error) {
    return errorAt(FileName, Error.positions().front().line,
                   "expected a verb and words or name=value options");
  }
  for (const auto &Statement : State.Statements)
    if (auto Error = checkStatement(Statement, FileName))
      return *Error;
  return std::move(State.Statements);
}

} // namespace azurehaven
