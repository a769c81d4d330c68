#include "LibStandIn/platform_stand_ins.h"

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr int StatusTooManyRequests = 429;

} // namespace

served_response vm_list_stand_in::serve(const served_request &Request) {
  std::lock_guard Lock(Mutex);
  served_response Response;
  if (Request.Method == "PUT") {
    json Replacement = json::parse(Request.Body, nullptr, false);
    if (Replacement.is_array())
      Lines = std::move(Replacement);
    else
      Response.Status = 400;
    return Response;
  }
  auto Viewer = Request.Query.find("viewer");
  json Viewed = json::array();
  for (json Line : Lines) {
    if (Line.contains("views")) {
      if (Viewer != Request.Query.end() &&
          Line["views"].contains(Viewer->second))
        Line.merge_patch(Line["views"][Viewer->second]);
      Line.erase("views");
    }
    Viewed.push_back(std::move(Line));
  }
  Response.Body = Viewed.dump();
  return Response;
}

served_response weight_store_stand_in::serve(const served_request &Request,
                                             steady_time Now) {
  std::lock_guard Lock(Mutex);
  const std::chrono::duration<double> Elapsed = Now - LastRefillAt;
  Tokens = std::min(1.0, Tokens + PerSecond * Elapsed.count());
  LastRefillAt = Now;
  served_response Response;
  if (Tokens < 1) {
    Response.Status = StatusTooManyRequests;
    return Response;
  }
  Tokens -= 1;
  auto Version = Request.Query.find("version");
  Response.Body =
      json{{"weights", Version == Request.Query.end() ? "" : Version->second}}
          .dump();
  return Response;
}

} // namespace azurehaven
