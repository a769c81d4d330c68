#include "LibStandIn/service_stand_in.h"

#include "LibStandIn/truncated_body.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace azurehaven {

using nlohmann::json;

served_response service_stand_in::serve(const served_request &Request) {
  served_response Response;
  if (Request.Path == "/status") {
    Response.Body = json{
        {"slots", 64},
        {"load", 0},
        {"leaving", Switches.number("leaving") != 0},
        {"boot_id",
         Name}}.dump();
    return Response;
  }
  const std::string Id = headerValue(Request.Headers, "X-Request-Id");
  std::uint64_t Count = 0;
  {
    std::lock_guard Lock(Mutex);
    Count = ++Runs[Id];
  }
  std::this_thread::sleep_for(milliseconds(Switches.number("delay_ms")));
  if (Switches.take("cut"))
    return truncatedResponse();
  Response.Headers.emplace_back("X-Request-Id", Id);
  Response.Body =
      json{{"booked", Request.Path}, {"by", Name}, {"run", Count}}.dump();
  return Response;
}

served_response service_stand_in::control(const served_request &Request) {
  served_response Response;
  if (Request.Path == "/stats") {
    std::lock_guard Lock(Mutex);
    Response.Body = json{{"runs", Runs}}.dump();
    return Response;
  }
  Response.Status = Switches.set(Request.Body) ? 200 : 400;
  return Response;
}

} // namespace azurehaven
