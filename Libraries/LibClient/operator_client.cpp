#include "LibClient/operator_client.h"

#include <thread>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr http_timeouts OperatorTimeouts{milliseconds(1000),
                                         milliseconds(20000)};
constexpr int MaximumSubmitAttempts = 5;
constexpr milliseconds SubmitRetryDelay{500};
constexpr int StatusOutcomeUnknown = 504;

} // namespace

result<operator_response> operator_client::send(const http_request &Request) {
  auto Sent =
      Transport.send(Address, Request, OperatorTimeouts, connection_use::Fresh);
  if (auto *Failure = std::get_if<http_failure>(&Sent))
    return error{Failure->Delivery == delivery::NotSent
                     ? error_code::Unavailable
                     : error_code::OutcomeUnknown,
                 Address.text() + ": " + Failure->Message};
  const auto &Response = std::get<http_response>(Sent);
  return operator_response{Response.Status,
                           json::parse(Response.Body, nullptr, false)};
}

result<operator_response> operator_client::get(const std::string &Path) {
  return send({"GET", Path, {}, {}});
}

result<operator_response> operator_client::submit(const json &Change) {
  const http_request Request{"POST",
                             "/v1/changes",
                             {{"Content-Type", "application/json"}},
                             Change.dump()};
  for (int Attempt = 1;; ++Attempt) {
    auto Response = send(Request);
    const bool IsUnknown =
        isError(Response) ? errorOf(Response).Code == error_code::OutcomeUnknown
                          : valueOf(Response).Status == StatusOutcomeUnknown;
    if (!IsUnknown || Attempt == MaximumSubmitAttempts)
      return Response;
    std::this_thread::sleep_for(SubmitRetryDelay);
  }
}

} // namespace azurehaven
