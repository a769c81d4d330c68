#pragma once

#include "LibConfig/configuration.h"
#include "LibDispatch/prompt_quarantine.h"
#include "LibEntry/refusal.h"
#include "LibSession/session_token.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <variant>

namespace azurehaven {

enum class response_mode { Buffered, Streamed };
enum class session_request { None, New };

/// Whether the caller chose the request's id or this VM issued it.
enum class id_origin { Caller, Issued };

/// A validated chat request.
struct chat_request {
  request_id Id;
  id_origin Origin = id_origin::Caller;
  std::shared_ptr<const configuration> Configuration;
  client_account Account;
  work_class Class;
  std::optional<session> Session;
  session_request SessionRequest = session_request::None;
  response_mode Mode = response_mode::Buffered;
  nlohmann::json Body;
  std::uint64_t BodyFingerprint = 0;
  std::uint64_t CrashFingerprint = 0;
  /// The messages that other requests may share: all but the last.
  std::vector<segment_key> SharedSegments;
  /// Equal for requests that share a prompt prefix.
  std::uint64_t AffinityKey = 0;
  steady_time ArrivedAt;
  steady_time Deadline;
};

/// Account and request id, common to chat requests and calls of plain services.
struct caller_identity {
  request_id Id;
  id_origin Origin = id_origin::Caller;
  client_account Account;
};

/// Checks the account key and the request id. Uses IssuedRequestId if the
/// caller sent none.
std::variant<caller_identity, refusal>
identifyCaller(const served_request &Request,
               const configuration &Configuration,
               const std::string &IssuedRequestId);

std::variant<chat_request, refusal>
parseChatRequest(const served_request &Request, caller_identity Identity,
                 std::shared_ptr<const configuration> Configuration,
                 steady_time Now, unix_millis WallNow);

} // namespace azurehaven
