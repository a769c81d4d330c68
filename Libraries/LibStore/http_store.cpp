#include "LibStore/http_store.h"

#include "LibHttp/percent_encoding.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int FirstServerError = 500;
constexpr int StatusUnavailable = 503;

error errorOfStatus(const http_response &Response) {
  if (Response.Status == StatusNotFound)
    return {error_code::NotFound, "no such key"};
  if (Response.Status == StatusConflict)
    return {error_code::Conflict, "the key has another revision"};
  return {error_code::Unavailable,
          "the store responded with status " + std::to_string(Response.Status)};
}

/// The error of a write. A rejected one took no effect; one that failed within
/// the store, or behind a proxy, may have taken effect.
error errorOfWriteStatus(const http_response &Response) {
  const bool IsRejected = (Response.Status >= StatusBadRequest &&
                           Response.Status < FirstServerError) ||
                          Response.Status == StatusUnavailable;
  error Error = errorOfStatus(Response);
  if (!IsRejected)
    Error.Code = error_code::OutcomeUnknown;
  return Error;
}

result<store_entry> entryOf(const json &Item) {
  try {
    return store_entry{Item.at("key").get<std::string>(),
                       Item.at("value").get<std::string>(),
                       Item.at("revision").get<std::uint64_t>()};
  } catch (const json::exception &Exception) {
    return error{error_code::Unavailable,
                 std::string("malformed response from the store: ") +
                     Exception.what()};
  }
}

} // namespace

http_store::http_store(http_transport &Transport, network_address Address,
                       milliseconds Timeout)
    : Transport(Transport),
      Address(std::move(Address)), Timeouts{Timeout, Timeout} {}

result<http_response> http_store::send(const http_request &Request) {
  auto Result =
      Transport.send(Address, Request, Timeouts, connection_use::Pooled);
  if (auto *Failure = std::get_if<http_failure>(&Result))
    return error{Failure->Delivery == delivery::NotSent
                     ? error_code::Unavailable
                     : error_code::OutcomeUnknown,
                 "store: " + Failure->Message};
  return std::get<http_response>(std::move(Result));
}

result<store_entry> http_store::read(store_purpose, const std::string &Key) {
  TRY(http_response Response,
      send({"GET", "/v1/kv?key=" + percentEncode(Key), {}, {}}));
  if (Response.Status != StatusOk)
    return errorOfStatus(Response);
  return entryOf(json::parse(Response.Body, nullptr, false));
}

result<std::uint64_t>
http_store::compareAndSwap(store_purpose, const std::string &Key,
                           const std::string &Value,
                           std::uint64_t ExpectedRevision) {
  json Body = {{"key", Key}, {"value", Value}, {"expected", ExpectedRevision}};
  TRY(http_response Response, send({"POST",
                                    "/v1/kv/cas",
                                    {{"Content-Type", "application/json"}},
                                    Body.dump()}));
  if (Response.Status != StatusOk)
    return errorOfWriteStatus(Response);
  json Document = json::parse(Response.Body, nullptr, false);
  if (!Document.is_object() || !Document["revision"].is_number_unsigned())
    return error{error_code::OutcomeUnknown, "store: malformed response"};
  return Document["revision"].get<std::uint64_t>();
}

result<std::vector<store_entry>> http_store::list(store_purpose,
                                                  const std::string &Prefix,
                                                  std::uint64_t AfterRevision) {
  TRY(http_response Response,
      send({"GET",
            "/v1/kv/list?prefix=" + percentEncode(Prefix) +
                "&after=" + std::to_string(AfterRevision),
            {},
            {}}));
  if (Response.Status != StatusOk)
    return errorOfStatus(Response);
  json Document = json::parse(Response.Body, nullptr, false);
  if (!Document.is_array())
    return error{error_code::Unavailable, "store: malformed response"};
  std::vector<store_entry> Entries;
  for (const auto &Item : Document) {
    TRY(store_entry Entry, entryOf(Item));
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

} // namespace azurehaven
