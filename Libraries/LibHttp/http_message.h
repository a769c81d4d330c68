#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azurehaven {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Compares without regard to the case of ASCII letters.
bool equalsIgnoringCase(std::string_view Text, std::string_view Other);
/// Returns the text without blanks and tabs at its ends.
std::string_view trimBlanks(std::string_view Text);

constexpr bool isBlank(char Byte) { return Byte == ' ' || Byte == '\t'; }
/// Whether the byte is a control character that no line of a message may hold.
/// Source: RFC 9110, section 5.5.
constexpr bool isControlByte(char Byte) {
  const auto Code = static_cast<unsigned char>(Byte);
  return (Code < 0x20 && Byte != '\t') || Code == 0x7f;
}

/// Whether the text may be the value of a header field: it ends no line.
bool isFieldValue(std::string_view Text);

/// Whether the byte may stand in a token, such as the name of a header field.
/// Source: RFC 9110, section 5.6.2.
bool isTokenByte(char Byte);

/// Returns the value of the first header field of that name, ignoring case;
/// else empty.
std::string headerValue(const http_headers &Headers, const std::string &Name);
/// Counts the header fields of that name, ignoring case.
std::size_t countFields(const http_headers &Headers, const std::string &Name);

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

/// Whether a request without a complete response may have been executed.
enum class delivery {
  /// No byte of the request can have reached the peer.
  NotSent,
  /// The request may have reached the peer and may have been executed.
  MayHaveRun,
};

/// How a connection was lost under an exchange.
enum class connection_loss {
  /// The other side closed or reset it.
  Ended,
  /// This side closed it, since what came can't be used.
  Rejected,
  /// Nothing came any more: its path may be lost.
  TimedOut,
  /// It was not made: nothing listens at the address.
  Refused,
};

struct http_failure {
  delivery Delivery = delivery::MayHaveRun;
  std::string Message;
  connection_loss Loss = connection_loss::Ended;
};

} // namespace azurehaven
