#pragma once

#include <string>
#include <utility>
#include <vector>

namespace azurehaven {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// The value of a header by case-insensitive name, or empty.
std::string headerValue(const http_headers &Headers, const std::string &Name);

struct http_request {
  std::string Method = "GET";
  std::string Path = "/";
  http_headers Headers;
  std::string Body;
};

struct http_response {
  int Status = 0;
  http_headers Headers;
  std::string Body;
};

/// What is known of a request that got no whole answer.
enum class delivery {
  /// No byte of it can have reached the other side.
  NotSent,
  /// It may have arrived and may have run.
  MayHaveRun,
};

struct http_failure {
  delivery Delivery = delivery::MayHaveRun;
  std::string Message;
};

} // namespace azurehaven
