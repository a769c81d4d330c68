#include "LibStandIn/rating_stand_in.h"

#include "LibTypes/fingerprint.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr std::int64_t DefaultQualityThousandths = 900;

} // namespace

served_response rating_stand_in::serve(const served_request &Request) {
  served_response Response;
  if (Request.Path == "/control") {
    Response.Status = Qualities.set(Request.Body) ? 200 : 400;
    return Response;
  }
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object()) {
    Response.Status = 400;
    return Response;
  }
  const std::string RatedResponse = Body.value("answer", std::string());
  const std::size_t End = RatedResponse.find(']');
  const std::string Version = RatedResponse.starts_with('[')
                                  ? RatedResponse.substr(1, End - 1)
                                  : std::string();
  const auto Draw = static_cast<std::int64_t>(
      fingerprintOf(Body.value("request", std::string()), 7) % 1000);
  const bool IsGood =
      Draw < Qualities.number(Version, DefaultQualityThousandths);
  Response.Body = json{{"score", IsGood ? 1.0 : 0.0}}.dump();
  return Response;
}

} // namespace azurehaven
