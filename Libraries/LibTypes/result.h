#pragma once

#include <string>
#include <utility>
#include <variant>

namespace azurehaven {

enum class error_code {
  InvalidInput,
  NotFound,
  Conflict,
  Unavailable,
  /// The operation may have taken effect, but no response arrived.
  OutcomeUnknown,
  Internal,
};

struct error {
  error_code Code = error_code::Internal;
  std::string Message;
};

template <typename T> using result = std::variant<T, error>;

struct success {};
using status = result<success>;

template <typename T> bool isError(const result<T> &Result) {
  return std::holds_alternative<error>(Result);
}

template <typename T> T &valueOf(result<T> &Result) {
  return std::get<0>(Result);
}
template <typename T> const T &valueOf(const result<T> &Result) {
  return std::get<0>(Result);
}
template <typename T> const error &errorOf(const result<T> &Result) {
  return std::get<error>(Result);
}

} // namespace azurehaven

#define AZUREHAVEN_JOIN_INNER(A, B) A##B
#define AZUREHAVEN_JOIN(A, B) AZUREHAVEN_JOIN_INNER(A, B)

#define AZUREHAVEN_TRY(Temporary, Declaration, Expression)                     \
  auto Temporary = (Expression);                                               \
  if (::azurehaven::isError(Temporary))                                        \
    return ::azurehaven::errorOf(Temporary);                                   \
  Declaration = std::get<0>(std::move(Temporary))

/// Initializes the declaration with the value of a result, or returns the error
/// from the enclosing function.
#define TRY(Declaration, Expression)                                           \
  AZUREHAVEN_TRY(AZUREHAVEN_JOIN(TryResult, __LINE__), Declaration, Expression)

/// Returns the error of a status, if it has one, from the enclosing function.
#define TRY_STATUS(Expression)                                                 \
  do {                                                                         \
    auto TryStatus = (Expression);                                             \
    if (::azurehaven::isError(TryStatus))                                      \
      return ::azurehaven::errorOf(TryStatus);                                 \
  } while (false)
