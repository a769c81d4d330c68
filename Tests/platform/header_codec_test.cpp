#include "platform/header_codec.h"

#include "LibConnection/request_parser.h"

#include <doctest/doctest.h>

using namespace azurehaven;
using namespace azurehaven::platform;

namespace {

const steady_time Start{std::chrono::hours(1)};

request_head callerHead() {
  return {"POST",
          "/p/x?q=1",
          {{"Host", "H.example:80"},
           {"Azurehaven-Attempt-Id", "id1"},
           {"Azurehaven-Model", "*"},
           {"Azurehaven-Token-Usage", "1460,80"},
           {"Azurehaven-Prompt-Prefix", "5c:800,91:410,e4:250"},
           {"Azurehaven-Deadline-Ms", "15000"},
           {"Authorization", "Bearer key1"},
           {"Session", "s1"},
           {"X-Own", "kept"},
           {"X-Hop", "dropped"},
           {"Connection", "keep-alive, X-Hop"},
           {"Azurehaven-Tenant", "forged"},
           {"Azurehaven-Hold", "forged"},
           {"Azurehaven-Pin-Ms", "1"},
           {"Azurehaven-Kv-Backup", "forged"},
           {"Azurehaven-Request-Urgency", "0"},
           {"Kv-From", "forged"},
           {"Last-Event-Id", "12"}},
          true};
}

attempt_parameters attemptParameters() {
  attempt_parameters Parameters;
  Parameters.Endpoint = endpoint_id("i-7");
  Parameters.Account = client_account_id("acc");
  Parameters.TimeLeft = milliseconds(900);
  Parameters.Model = model_id("m0");
  Parameters.Urgency = 3;
  Parameters.ResumeAfter = 15;
  Parameters.BodySize = 3;
  return Parameters;
}

bool hasLine(const std::string &Text, const std::string &Line) {
  return Text.find("\r\n" + Line + "\r\n") != std::string::npos;
}

} // namespace

TEST_CASE("A caller's request is decoded into typed fields") {
  auto Decoded = header_codec().decodeRequest(callerHead());
  REQUIRE_FALSE(isError(Decoded));
  const dispatch_request &Request = valueOf(Decoded);
  CHECK(Request.Id == request_id("id1"));
  CHECK(Request.Host == "h.example");
  CHECK(Request.Path == "/p/x");
  CHECK(Request.ApiKey == "key1");
  CHECK(Request.Deadline == milliseconds(15000));
  CHECK(Request.PromptTokens == 1460);
  CHECK(Request.OutputTokens == 80);
  REQUIRE(Request.Prompt.size() == 3);
  CHECK(Request.Prompt[1].Tokens == 410);
  CHECK(Request.Session == "s1");
  CHECK(Request.LastEventId == 12);
  CHECK(Request.acceptsAnyModel());
}

TEST_CASE(
    "A request to an endpoint has the caller's fields and the relay's own") {
  const header_codec Codec;
  const auto Request = valueOf(Codec.decodeRequest(callerHead()));
  const std::string Text =
      Codec.encodeRequestHead(callerHead(), Request, attemptParameters());
  CHECK(Text.starts_with("POST /p/x?q=1 HTTP/1.1\r\n"));
  CHECK(Text.ends_with("\r\n\r\n"));
  for (const char *Line :
       {"Azurehaven-Attempt-Id: id1", "X-Own: kept", "Azurehaven-Model: m0",
        "Azurehaven-Tenant: acc", "Azurehaven-Expect-Instance: i-7",
        "Azurehaven-Deadline-Ms: 900", "Azurehaven-Request-Urgency: 3",
        "Last-Event-Id: 15", "Content-Length: 3"}) {
    CAPTURE(Line);
    CHECK(hasLine(Text, Line));
  }
  for (const char *Forbidden :
       {"Authorization", "forged", "key1", "X-Hop", "Pin-Ms", "Urgency: 0",
        "Model: *", "Last-Event-Id: 12", "Connection"}) {
    CAPTURE(Forbidden);
    CHECK(Text.find(Forbidden) == std::string::npos);
  }
}

TEST_CASE("Requests with two ids or keys are rejected") {
  for (const char *Name : {"Azurehaven-Attempt-Id", "Authorization"}) {
    request_head Head = callerHead();
    Head.Headers.emplace_back(Name, "other");
    CHECK(isError(header_codec().decodeRequest(Head)));
  }
}

TEST_CASE("An endpoint's response head is decoded") {
  const response_head Head{503,
                           {{"azurehaven-attempt-id", "id1"},
                            {"Azurehaven-Not-Executed", "1"},
                            {"Azurehaven-Server-Load", "3,1,8"},
                            {"Azurehaven-Confidence", "61"},
                            {"Keep-Alive", "timeout=5, max=100"}}};
  const auto Response = header_codec().decodeResponseHead(Head, Start);
  CHECK(Response.EchoedRequestId == request_id("id1"));
  CHECK(Response.WasNotExecuted);
  CHECK_FALSE(Response.IsSigned);
  REQUIRE(Response.Load);
  CHECK(Response.Load->Running == 3);
  CHECK(Response.Confidence == 61);
  CHECK(Response.IdleLimit == milliseconds(4000));
  CHECK(header_codec().decodeResponseHead({421, {}}, Start).WasNotExecuted);
  CHECK_FALSE(
      header_codec().decodeResponseHead({503, {}}, Start).WasNotExecuted);
}

TEST_CASE("Response fields meant for the relay are not forwarded") {
  const response_head Head{200,
                           {{"Azurehaven-Response-Seal", "seal"},
                            {"Azurehaven-Server-Load", "1,2,3"},
                            {"Azurehaven-Instance-Id", "i"},
                            {"Transfer-Encoding", "chunked"},
                            {"Content-Type", "text/plain"}}};
  const auto Forwarded = header_codec().forwardedHeaders(Head);
  CHECK(Forwarded.size() == 2);
  CHECK(headerValue(Forwarded, "Azurehaven-Response-Seal") == "seal");
}

TEST_CASE("A rejection carries Retry-After in seconds") {
  const auto Fields =
      header_codec().localResponseHeaders(request_id("id1"), milliseconds(250));
  CHECK(headerValue(Fields, "Retry-After") == "0.250");
  CHECK(headerValue(Fields, "Azurehaven-Response-Seal").empty());
}

namespace {

decoded_response_head decodeResponse(int Status, http_headers Headers) {
  response_head Head;
  Head.Status = Status;
  Head.Headers = std::move(Headers);
  return header_codec().decodeResponseHead(Head, Start);
}

} // namespace

TEST_CASE("Any response of a leaving endpoint says so, but not to callers") {
  const http_headers Headers{{"Server-Leaving", "1"}, {"X-Own", "kept"}};
  for (const int Status : {200, 404, 500, 503}) {
    const auto Response = decodeResponse(Status, Headers);
    CHECK(Response.IsLeaving);
    CHECK_FALSE(Response.MalformedField);
  }
  CHECK_FALSE(decodeResponse(200, {}).IsLeaving);
  response_head Head;
  Head.Headers = Headers;
  const http_headers Forwarded{{"X-Own", "kept"}};
  CHECK(header_codec().forwardedHeaders(Head) == Forwarded);
}

TEST_CASE("Another value of the leaving field is reported and ignored") {
  for (const char *Value : {"0", "yes", "1 1", "-1"}) {
    CAPTURE(Value);
    const auto Response = decodeResponse(200, {{"Server-Leaving", Value}});
    CHECK_FALSE(Response.IsLeaving);
    CHECK(Response.MalformedField);
  }
}

TEST_CASE("A 503 may name a time to retry after, in seconds") {
  const auto Decode = [](const char *Value, int Status = 503) {
    return decodeResponse(Status, {{"Retry-After", Value}});
  };
  CHECK(Decode("2").RetryAfter == milliseconds(2000));
  CHECK(Decode("0.25").RetryAfter == milliseconds(250));
  CHECK(Decode("0").RetryAfter == milliseconds(0));
  CHECK(Decode("86400").RetryAfter == milliseconds(60000));
  CHECK(Decode("1e300").RetryAfter == milliseconds(60000));
  CHECK_FALSE(Decode("2", 429).RetryAfter);
  CHECK_FALSE(Decode("2", 200).RetryAfter);
  for (const char *Value : {"-1", "soon", "nan", "inf", "1 s", "1,5",
                            "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    CAPTURE(Value);
    CHECK_FALSE(Decode(Value).RetryAfter);
    CHECK(Decode(Value).MalformedField);
  }
}

TEST_CASE("An endpoint's limit for all VMs is a number from 0 up") {
  const auto Decode = [](const std::string &Value) {
    return decodeResponse(200, {{"Server-Limit", Value}});
  };
  CHECK(Decode("1.3").RequestsPerSecond == 1.3);
  CHECK(Decode("0").RequestsPerSecond == 0);
  CHECK_FALSE(decodeResponse(200, {}).RequestsPerSecond);
  for (const char *Value : {"", "-1", "none", "nan", "inf", "1 /s", "1,5"}) {
    CAPTURE(Value);
    CHECK_FALSE(Decode(Value).RequestsPerSecond);
    CHECK(Decode(Value).MalformedField);
  }
}

namespace {

/// The head of a request that another VM forwards, as this one reads it.
request_head forwardedHead(const forwarding_parameters &Parameters) {
  request_head Head = callerHead();
  Head.Headers.emplace_back("Forwarded-By-Vm", "forged");
  Head.Headers.emplace_back("Forwarded-Run-Count", "7");
  request_parser Parser{caller_limits()};
  Parser.consume(header_codec().encodeForwardedHead(Head, Parameters));
  REQUIRE(Parser.isHeadComplete());
  return Parser.head();
}

} // namespace

TEST_CASE(
    "A forwarded request keeps what its caller sent, with the rest of the "
    "deadline") {
  forwarding_parameters Parameters;
  Parameters.Origin = {vm_id("vm-2"), 1};
  Parameters.TimeLeft = milliseconds(900);
  Parameters.ResumeAfter = 15;
  const request_head Head = forwardedHead(Parameters);
  const auto Decoded = header_codec().decodeRequest(Head);
  REQUIRE_FALSE(isError(Decoded));
  const dispatch_request &Request = valueOf(Decoded);
  CHECK(Request.Id == request_id("id1"));
  CHECK(Request.ApiKey == "key1");
  CHECK(Request.RequestedModel == "*");
  CHECK(Request.Prompt.size() == 3);
  CHECK(Request.Deadline == milliseconds(900));
  CHECK(Request.LastEventId == 15);
  CHECK(Head.Target == "/p/x?q=1");
  CHECK(headerValue(Head.Headers, "X-Own") == "kept");
  CHECK(headerValue(Head.Headers, "X-Hop").empty());
  const auto Origin = header_codec().decodeOrigin(Head);
  REQUIRE_FALSE(isError(Origin));
  CHECK(valueOf(Origin).Vm == vm_id("vm-2"));
  CHECK(valueOf(Origin).RunCount == 1);
  CHECK_FALSE(valueOf(Origin).AllowedRuns);
}

TEST_CASE("The runs that a peer may make go along with a forwarded request") {
  forwarding_parameters Parameters;
  Parameters.Origin = {vm_id("vm-2"), 1, 2};
  const request_head Head = forwardedHead(Parameters);
  const auto Origin = header_codec().decodeOrigin(Head);
  REQUIRE_FALSE(isError(Origin));
  CHECK(valueOf(Origin).AllowedRuns == 2);
  const std::string Sent =
      header_codec().encodeRequestHead(Head, {}, attemptParameters());
  CHECK(Sent.find("Forwarded-") == std::string::npos);
}

TEST_CASE("What a VM adds to a forwarded request is not sent to endpoints") {
  const std::string Head = header_codec().encodeRequestHead(
      forwardedHead({}), {}, attemptParameters());
  CHECK(Head.find("Forwarded-") == std::string::npos);
}

TEST_CASE("A forwarded request without its origin is malformed") {
  CHECK(isError(header_codec().decodeOrigin(callerHead())));
  request_head Head = callerHead();
  Head.Headers.emplace_back("Forwarded-By-Vm", "vm-2");
  for (const char *Count : {"", "-1", "one", "1 1"}) {
    CAPTURE(Count);
    request_head Malformed = Head;
    Malformed.Headers.emplace_back("Forwarded-Run-Count", Count);
    CHECK(isError(header_codec().decodeOrigin(Malformed)));
  }
}
