/// \file
/// HTTP messages as plain data, independent of the HTTP libraries.
#ifndef COLTSFOOTSHED_HTTP_MESSAGE_H
#define COLTSFOOTSHED_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coltsfootshed {

/// Header fields in order of arrival.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Names of the project's own header fields.
inline constexpr const char* kOutcomeHeader = "Coltsfootshed-Outcome";
inline constexpr const char* kClassHeader = "Coltsfootshed-Class";
inline constexpr const char* kTenantHeader = "Coltsfootshed-Tenant";
inline constexpr const char* kDeadlineHeader = "Coltsfootshed-Deadline-Ms";
inline constexpr const char* kIdempotentHeader = "Coltsfootshed-Idempotent";
inline constexpr const char* kRequestIdHeader = "Coltsfootshed-Request-Id";
inline constexpr const char* kLeavingHeader = "Coltsfootshed-Leaving";
/// Prefix of all of these names, in lower case.
inline constexpr std::string_view kProjectHeaderPrefix = "coltsfootshed-";

/// A request with its whole body.
struct HttpRequest
{
  std::string method_;
  std::string target_; ///< the request target: path and query
  Headers headers_;
  std::string body_;
};

/// An answer with its whole body.
struct HttpAnswer
{
  int code_ = 0; ///< HTTP status code
  Headers headers_;
  std::string body_;
};

/// Compares ASCII strings without regard to case.
bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);
/// True if aText starts with aPrefix, without regard to case.
bool StartsWithIgnoringCase(std::string_view aText, std::string_view aPrefix);
/// The value of the first field named aName, in any case, or nothing.
std::optional<std::string_view> FindHeader(const Headers& aHeaders,
                                           std::string_view aName);
/// True for fields that are not passed on: those that apply to one connection,
/// Content-Length, which the sender computes anew, and Expect, as only complete
/// bodies are passed on.
bool IsNotForwarded(std::string_view aName);
/// The decoded value of aKey in the query of aTarget, or an empty string if
/// the query lacks it or cannot be parsed.
std::string QueryValue(std::string_view aTarget, std::string_view aKey);
/// aTarget without its query.
std::string_view PathOf(std::string_view aTarget);

} // namespace coltsfootshed

#endif
