#include "LibStandIn/store_stand_in.h"

#include "LibStandIn/truncated_body.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace azurehaven {

using nlohmann::json;

namespace {

served_response respond(int Status, const json &Body) {
  served_response Response;
  Response.Status = Status;
  Response.Body = Body.dump();
  return Response;
}

int statusOf(const error &Error) {
  return Error.Code == error_code::NotFound ? 404 : 409;
}

json encode(const store_entry &Entry) {
  return {
      {"key", Entry.Key}, {"value", Entry.Value}, {"revision", Entry.Revision}};
}

std::string queryText(const served_request &Request, const char *Name) {
  auto Found = Request.Query.find(Name);
  return Found == Request.Query.end() ? std::string() : Found->second;
}

} // namespace

served_response store_stand_in::serve(const served_request &Request) {
  if (Request.Path == "/control")
    return respond(Switches.set(Request.Body) ? 200 : 400, json::object());
  if (Request.Path == "/stats")
    return respond(200, {{"reads", Reads.load()}, {"writes", Writes.load()}});
  std::this_thread::sleep_for(milliseconds(Switches.number("delay_ms")));
  if (Switches.number("down") != 0)
    return respond(503, {{"error", "down"}});
  return serveKv(Request);
}

served_response store_stand_in::serveKv(const served_request &Request) {
  const auto Purpose = store_purpose::Configuration;
  if (Request.Path == "/v1/kv/cas")
    return compareAndSwap(Request);
  ++Reads;
  if (Request.Path == "/v1/kv") {
    auto Entry = Store.read(Purpose, queryText(Request, "key"));
    return isError(Entry) ? respond(statusOf(errorOf(Entry)), json::object())
                          : respond(200, encode(valueOf(Entry)));
  }
  if (Request.Path == "/v1/kv/list") {
    const std::string After = queryText(Request, "after");
    auto Entries = Store.list(Purpose, queryText(Request, "prefix"),
                              std::strtoull(After.c_str(), nullptr, 10));
    json Lines = json::array();
    for (const auto &Entry : valueOf(Entries))
      Lines.push_back(encode(Entry));
    return respond(200, Lines);
  }
  return respond(404, json::object());
}

served_response store_stand_in::compareAndSwap(const served_request &Request) {
  ++Writes;
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object())
    return respond(400, json::object());
  const std::string Key = Body.value("key", std::string());
  auto Swapped = Store.compareAndSwap(store_purpose::Configuration, Key,
                                      Body.value("value", std::string()),
                                      Body.value("expected", std::uint64_t(0)));
  if (Key.starts_with(Switches.text("lose_answers_of")) &&
      Switches.take("lose_answers"))
    return truncatedResponse();
  if (isError(Swapped))
    return respond(statusOf(errorOf(Swapped)), json::object());
  return respond(200, {{"revision", valueOf(Swapped)}});
}

} // namespace azurehaven
