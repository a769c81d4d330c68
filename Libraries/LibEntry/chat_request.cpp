#include "LibEntry/chat_request.h"

#include "LibRouting/crash_registry.h"
#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr std::size_t MaximumRequestIdBytes = 128;
constexpr std::size_t AffinityPrefixBytes = 512;

refusal badRequest(const std::string &Code, const std::string &Message) {
  return {400, Code, run_state::NotRun, Message, std::nullopt};
}

bool isAcceptableRequestId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaximumRequestIdBytes &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character > 0x20 && Character < 0x7f;
         });
}

std::string bearerKey(const served_request &Request) {
  const std::string Header = headerValue(Request.Headers, "Authorization");
  const std::string Scheme = "Bearer ";
  return Header.starts_with(Scheme) ? Header.substr(Scheme.size())
                                    : std::string();
}

std::string textOf(const json &Message) {
  return Message.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Hashes the start of the first message, usually the system prompt, because
/// that is the prefix that requests share in an engine's cache. Sets the lowest
/// bit, because 0 means that there is no affinity key.
std::uint64_t affinityKeyOf(const json &Messages) {
  const std::string Prefix = textOf(Messages.front());
  return fingerprintOf(std::string_view(Prefix).substr(0, AffinityPrefixBytes),
                       1) |
         1;
}

std::vector<segment_key> sharedSegmentsOf(const json &Messages) {
  std::vector<segment_key> Keys;
  for (std::size_t Index = 0; Index + 1 < Messages.size(); ++Index)
    Keys.push_back(fingerprintOf(textOf(Messages[Index])));
  return Keys;
}

std::optional<refusal> validateBody(const json &Body) {
  if (!Body.is_object())
    return badRequest("bad_json", "the body is not a JSON object");
  auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    return badRequest("bad_messages", "messages: accepted: a non-empty array "
                                      "of {role, content}");
  for (const auto &Message : *Messages)
    if (!Message.is_object() || !Message.contains("role") ||
        !Message["role"].is_string() || !Message.contains("content") ||
        !Message["content"].is_string())
      return badRequest("bad_messages", "messages: accepted: objects with the "
                                        "strings role and content");
  auto Stream = Body.find("stream");
  if (Stream != Body.end() && !Stream->is_boolean())
    return badRequest("bad_stream", "stream: accepted: true or false");
  return std::nullopt;
}

} // namespace

std::variant<caller_identity, refusal>
identifyCaller(const served_request &Request,
               const configuration &Configuration,
               const std::string &IssuedRequestId) {
  std::string Id = headerValue(Request.Headers, "X-Request-Id");
  const id_origin Origin = Id.empty() ? id_origin::Issued : id_origin::Caller;
  if (Origin == id_origin::Issued)
    Id = IssuedRequestId;
  else if (!isAcceptableRequestId(Id))
    return badRequest("bad_request_id",
                      "X-Request-Id: accepted: 1 to 128 visible characters");
  const std::string Key = bearerKey(Request);
  const client_account *Account =
      Key.empty() ? nullptr : Configuration.findAccountByKey(Key);
  if (!Account)
    return refusal{401, "unknown_account", run_state::NotRun,
                   "Authorization: accepted: Bearer and the key of an account",
                   std::nullopt};
  return caller_identity{request_id(Id), Origin, *Account};
}

std::variant<chat_request, refusal>
parseChatRequest(const served_request &Request, caller_identity Identity,
                 std::shared_ptr<const configuration> Configuration,
                 steady_time Now, unix_millis WallNow) {
  chat_request Parsed;
  Parsed.Body = json::parse(Request.Body, nullptr, false);
  if (auto Refusal = validateBody(Parsed.Body))
    return *Refusal;
  const std::string ClassName = headerValue(Request.Headers, "X-Work-Class");
  auto Class = Configuration->Classes.find(class_id(ClassName));
  if (Class == Configuration->Classes.end())
    return badRequest("unknown_class", "X-Work-Class: \"" + ClassName +
                                           "\"; accepted: a declared class");
  const std::string Token = headerValue(Request.Headers, "X-Session-Token");
  if (!Token.empty()) {
    auto Session = verifySessionToken(Token, Identity.Account.Id,
                                      Configuration->SessionKeys, WallNow);
    if (isError(Session))
      return badRequest("bad_session", errorOf(Session).Message);
    Parsed.Session = valueOf(Session);
  }
  if (headerValue(Request.Headers, "X-Session") == "new")
    Parsed.SessionRequest = session_request::New;
  Parsed.Id = std::move(Identity.Id);
  Parsed.Origin = Identity.Origin;
  Parsed.Account = std::move(Identity.Account);
  Parsed.Class = Class->second;
  Parsed.Configuration = std::move(Configuration);
  Parsed.Mode = Parsed.Body.value("stream", false) ? response_mode::Streamed
                                                   : response_mode::Buffered;
  Parsed.BodyFingerprint = fingerprintOf(Request.Body);
  Parsed.CrashFingerprint = crashFingerprint(Parsed.Account.Id, Request.Body);
  Parsed.SharedSegments = sharedSegmentsOf(Parsed.Body["messages"]);
  Parsed.AffinityKey = affinityKeyOf(Parsed.Body["messages"]);
  Parsed.ArrivedAt = Now;
  Parsed.Deadline = Now + Parsed.Class.Deadline;
  return Parsed;
}

} // namespace azurehaven
