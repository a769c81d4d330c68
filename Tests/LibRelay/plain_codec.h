#pragma once

#include "LibRelay/wire_codec.h"

#include <sstream>

namespace azurehaven {

/// A codec with short header names for tests of the relay.
class plain_codec : public wire_codec {
public:
  /// Status of a response from another endpoint than the expected one.
  int TreatsAsMisdirected = 0;

  result<dispatch_request>
  decodeRequest(const request_head &Head) const override {
    dispatch_request Request;
    Request.Id = request_id(headerValue(Head.Headers, "Id"));
    if (Request.Id.empty())
      return error{error_code::InvalidInput, "no id"};
    Request.Method = Head.Method;
    Request.Host = headerValue(Head.Headers, "Host");
    Request.Path = Head.Target;
    Request.ApiKey = headerValue(Head.Headers, "Key");
    Request.RequestedModel = headerValue(Head.Headers, "Model");
    if (auto Text = headerValue(Head.Headers, "After"); !Text.empty())
      Request.LastEventId = std::stoull(Text);
    std::istringstream Prompt(headerValue(Head.Headers, "Prompt"));
    for (std::string Segment; std::getline(Prompt, Segment, ',');)
      Request.Prompt.push_back({Segment, 100});
    const std::string Deadline = headerValue(Head.Headers, "Deadline");
    if (!Deadline.empty())
      Request.Deadline = milliseconds(std::stoi(Deadline));
    return Request;
  }
  std::string
  encodeRequestHead(const request_head &Head, const dispatch_request &Request,
                    const attempt_parameters &Parameters) const override {
    std::string Text =
        Head.Method + " " + Head.Target + " HTTP/1.1\r\nHost: " + Request.Host +
        "\r\nId: " + Request.Id.text() +
        "\r\nEndpoint: " + Parameters.Endpoint.text() +
        "\r\nContent-Length: " + std::to_string(Parameters.BodySize);
    if (Parameters.ResumeAfter)
      Text += "\r\nAfter: " + std::to_string(*Parameters.ResumeAfter);
    if (Parameters.Model)
      Text += "\r\nModel: " + Parameters.Model->text();
    return Text + "\r\n\r\n";
  }
  std::string
  encodeForwardedHead(const request_head &Head,
                      const forwarding_parameters &Parameters) const override {
    std::string Text = Head.Method + " " + Head.Target + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Head.Headers)
      if (Name != "Content-Length" && Name != "Deadline" &&
          !(Parameters.ResumeAfter && Name == "After"))
        Text += Name + ": " + Value + "\r\n";
    if (Parameters.ResumeAfter)
      Text += "After: " + std::to_string(*Parameters.ResumeAfter) + "\r\n";
    return Text + "Deadline: " + std::to_string(Parameters.TimeLeft.count()) +
           "\r\nFrom-Vm: " + Parameters.Origin.Vm.text() +
           "\r\nRuns: " + std::to_string(Parameters.Origin.RunCount) +
           "\r\nAllowed-Runs: " +
           std::to_string(Parameters.Origin.AllowedRuns.value_or(0)) +
           "\r\nContent-Length: " + std::to_string(Parameters.BodySize) +
           "\r\n\r\n";
  }
  result<forwarding_origin>
  decodeOrigin(const request_head &Head) const override {
    const std::string Vm = headerValue(Head.Headers, "From-Vm");
    if (Vm.empty())
      return error{error_code::InvalidInput, "no origin"};
    return forwarding_origin{
        vm_id(Vm), std::stoi(headerValue(Head.Headers, "Runs")),
        std::stoi(headerValue(Head.Headers, "Allowed-Runs"))};
  }
  decoded_response_head decodeResponseHead(const response_head &Head,
                                           steady_time) const override {
    decoded_response_head Response;
    Response.Status = Head.Status;
    if (auto Id = headerValue(Head.Headers, "Id"); !Id.empty())
      Response.EchoedRequestId = request_id(Id);
    Response.IsSigned = !headerValue(Head.Headers, "Signed").empty();
    Response.WasNotExecuted = !headerValue(Head.Headers, "Not-Run").empty();
    Response.IsMisdirected = Head.Status == TreatsAsMisdirected;
    Response.IsLeaving = !headerValue(Head.Headers, "Leaving").empty();
    if (auto Text = headerValue(Head.Headers, "Retry-After"); !Text.empty())
      Response.RetryAfter = milliseconds(std::stoi(Text));
    if (auto Text = headerValue(Head.Headers, "Rate-Limit"); !Text.empty())
      Response.RequestsPerSecond = std::stod(Text);
    if (auto Text = headerValue(Head.Headers, "Brittle"); !Text.empty())
      Response.RejectionsPerSecond = std::stod(Text);
    if (auto Text = headerValue(Head.Headers, "Confidence"); !Text.empty())
      Response.Confidence = std::stoi(Text);
    return Response;
  }
  http_headers forwardedHeaders(const response_head &Head) const override {
    http_headers Forwarded;
    for (const auto &Field : Head.Headers)
      if (!isConnectionField(Field.first, Head.Headers))
        Forwarded.push_back(Field);
    return Forwarded;
  }
  http_headers
  localResponseHeaders(const request_id &,
                       std::optional<milliseconds> RetryAfter) const override {
    http_headers Fields{{"Own", "1"}};
    if (RetryAfter)
      Fields.emplace_back("Retry-After", std::to_string(RetryAfter->count()));
    return Fields;
  }
};

} // namespace azurehaven
