#include "LibEntry/entry_settings.h"

#include <charconv>

namespace azurehaven {

const char *const EntryUsage = R"(Serves callers on one entry VM.

Usage:
  azurehaven entry [options]
  azurehaven entry (-h | --help)

Options:
  --vm=ID                  Name of this VM [env: AZUREHAVEN_VM]
  --domain=ID              Its failure domain [env: AZUREHAVEN_DOMAIN]
  --listen=IP:PORT         For callers [env: AZUREHAVEN_LISTEN]
  --operator-listen=IP:PORT  For operators, /metrics, /healthz and /readyz
                           [env: AZUREHAVEN_OPERATOR_LISTEN]
  --peer-listen=IP:PORT    For other entry VMs [env: AZUREHAVEN_PEER_LISTEN]
  --store=IP:PORT          The platform's key-value service
                           [env: AZUREHAVEN_STORE]
  --vm-list=IP:PORT        The platform's list of VMs [env: AZUREHAVEN_VM_LIST]
  --rating-service=IP:PORT The service that rates answers; none by default
                           [env: AZUREHAVEN_RATING_SERVICE]
  --maximum-streams=N      Requests served at a time, 1 to 20000; default 1000
                           [env: AZUREHAVEN_MAXIMUM_STREAMS]
  --body-limit=BYTES       Largest request body, 1024 to 67108864;
                           default 1048576 [env: AZUREHAVEN_BODY_LIMIT]
  --discovery-keep-ms=MS   How long callers may keep a list of entry VMs, 100 to
                           60000; default 5000 [env: AZUREHAVEN_DISCOVERY_KEEP_MS]
  --store-timeout-ms=MS    Bound on one call of the store, 10 to 10000;
                           default 1000 [env: AZUREHAVEN_STORE_TIMEOUT_MS]
  --ratings-per-second=N   Answers sent to be rated, 0 to 10000; default 50
                           [env: AZUREHAVEN_RATINGS_PER_SECOND]
  --log-level=LEVEL        debug, info, warning or error; default info
                           [env: AZUREHAVEN_LOG_LEVEL]
  --check                  Check the settings and exit
  -h --help                Show this text
)";

namespace {

std::string environmentVariableOf(const std::string &Flag) {
  std::string Variable = "AZUREHAVEN";
  for (char Character : Flag.substr(1))
    Variable.push_back(
        Character == '-' ? '_' : static_cast<char>(toupper(Character)));
  return Variable;
}

/// Reads settings one by one and collects the validation errors.
class setting_reader {
public:
  setting_reader(const setting_lookup &Flag, const setting_lookup &Environment,
                 std::vector<std::string> &Errors)
      : Flag(Flag), Environment(Environment), Errors(Errors) {}

  std::optional<std::string> find(const std::string &Name) const {
    if (auto Value = Flag(Name))
      return Value;
    return Environment(environmentVariableOf(Name));
  }

  void addError(const std::string &Name, const std::string &Value,
                const std::string &Accepted) {
    Errors.push_back(Name + " (" + environmentVariableOf(Name) + "): " + Value +
                     "; accepted: " + Accepted);
  }

  std::string readName(const std::string &Name) {
    auto Value = find(Name);
    const bool IsValid =
        Value && !Value->empty() && Value->size() <= 64 &&
        Value->find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
            std::string::npos;
    if (!IsValid)
      addError(Name, Value ? "\"" + *Value + "\"" : "missing",
               "1 to 64 letters, digits, '-', '_' or '.'");
    return Value.value_or("");
  }

  std::optional<network_address> readOptionalAddress(const std::string &Name) {
    auto Value = find(Name);
    if (!Value)
      return std::nullopt;
    auto Address = parseNetworkAddress(*Value);
    if (!isError(Address))
      return valueOf(Address);
    Errors.push_back(Name + " (" + environmentVariableOf(Name) +
                     "): " + errorOf(Address).Message);
    return std::nullopt;
  }

  network_address readAddress(const std::string &Name) {
    if (!find(Name))
      addError(Name, "missing",
               "an IPv4 address and a port, such as 127.0.0.1:8080");
    return readOptionalAddress(Name).value_or(network_address{});
  }

  std::int64_t readInteger(const std::string &Name, std::int64_t Default,
                           std::int64_t Minimum, std::int64_t Maximum) {
    auto Value = find(Name);
    if (!Value)
      return Default;
    std::int64_t Number = 0;
    const char *End = Value->data() + Value->size();
    auto [Stop, Code] = std::from_chars(Value->data(), End, Number);
    if (Code == std::errc() && Stop == End && Number >= Minimum &&
        Number <= Maximum)
      return Number;
    addError(Name, "\"" + *Value + "\"",
             "a whole number, " + std::to_string(Minimum) + " to " +
                 std::to_string(Maximum));
    return Default;
  }

private:
  const setting_lookup &Flag;
  const setting_lookup &Environment;
  std::vector<std::string> &Errors;
};

} // namespace

entry_settings readEntrySettings(const setting_lookup &Flag,
                                 const setting_lookup &Environment,
                                 std::vector<std::string> &Errors) {
  setting_reader Reader(Flag, Environment, Errors);
  entry_settings Settings;
  Settings.Vm = vm_id(Reader.readName("--vm"));
  Settings.Domain = failure_domain_id(Reader.readName("--domain"));
  Settings.Listen = Reader.readAddress("--listen");
  Settings.OperatorListen = Reader.readAddress("--operator-listen");
  Settings.PeerListen = Reader.readAddress("--peer-listen");
  Settings.Store = Reader.readAddress("--store");
  Settings.VmList = Reader.readAddress("--vm-list");
  Settings.RatingService = Reader.readOptionalAddress("--rating-service");
  Settings.MaximumStreams = static_cast<std::size_t>(
      Reader.readInteger("--maximum-streams", 1000, 1, 20000));
  Settings.BodyLimitBytes = static_cast<std::size_t>(
      Reader.readInteger("--body-limit", 1 << 20, 1024, 64 << 20));
  Settings.DiscoveryTimeToLive =
      milliseconds(Reader.readInteger("--discovery-keep-ms", 5000, 100, 60000));
  Settings.StoreTimeout =
      milliseconds(Reader.readInteger("--store-timeout-ms", 1000, 10, 10000));
  Settings.RatingsPerSecond = static_cast<double>(
      Reader.readInteger("--ratings-per-second", 50, 0, 10000));
  if (auto Level = Reader.find("--log-level")) {
    auto Parsed = parseLogLevel(*Level);
    if (isError(Parsed))
      Errors.push_back("--log-level (AZUREHAVEN_LOG_LEVEL): " +
                       errorOf(Parsed).Message);
    else
      Settings.LogLevel = valueOf(Parsed);
  }
  return Settings;
}

} // namespace azurehaven
