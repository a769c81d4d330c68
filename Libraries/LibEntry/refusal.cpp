#include "LibEntry/refusal.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

std::string encodeRefusal(const refusal &Refusal,
                          const std::string &RequestId) {
  json Retry = nullptr;
  if (Refusal.RetryAfter)
    Retry = Refusal.RetryAfter->count();
  json Body = {
      {"error",
       {{"code", Refusal.Code},
        {"run", Refusal.Run == run_state::NotRun ? "not_run" : "may_have_run"},
        {"message", Refusal.Message},
        {"retry_after_ms", Retry},
        {"request_id", RequestId}}}};
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

served_response respondWith(const refusal &Refusal,
                            const std::string &RequestId) {
  served_response Response;
  Response.Status = Refusal.Status;
  Response.RefusalCode = Refusal.Code;
  Response.Body = encodeRefusal(Refusal, RequestId);
  Response.Headers.emplace_back("X-Request-Id", RequestId);
  if (Refusal.RetryAfter) {
    // The header has whole seconds, rounded up; the body has milliseconds.
    const auto Seconds = (Refusal.RetryAfter->count() + 999) / 1000;
    Response.Headers.emplace_back("Retry-After", std::to_string(Seconds));
  }
  return Response;
}

} // namespace azurehaven
