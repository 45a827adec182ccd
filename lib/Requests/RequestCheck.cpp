#include "coltsfootshed/Requests/RequestCheck.h"

#include "coltsfootshed/Support/Nearest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace coltsfootshed {

static constexpr std::int64_t kMaxDeadlineMs = 600000;
static constexpr std::size_t kMaxRequestIdLength = 128;

static tl::unexpected<RequestError> MakeError(int aCode, std::string aText)
{
  return tl::unexpected<RequestError>(RequestError{ aCode, std::move(aText) });
}

static std::string ServiceOf(std::string_view aTarget)
{
  std::string_view path = PathOf(aTarget);
  if (path.starts_with('/')) {
    path.remove_prefix(1);
  }
  return std::string(path.substr(0, path.find('/')));
}

static RequestError UnknownService(const std::string& aName,
                                   const Document& aDocument)
{
  std::set<std::string, std::less<>> known;
  for (const auto& [name, service] : aDocument.services_) {
    known.insert(name);
  }
  std::string nearest = Nearest(aName, known);
  std::string hint = nearest.empty() ? "" : "; did you mean " + nearest + "?";
  return { 404, "no service named \"" + aName + "\"" + hint };
}

static bool IsIdempotentMethod(std::string_view aMethod)
{
  static constexpr std::array<std::string_view, 5> kIdempotent = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"
  };
  return std::find(kIdempotent.begin(), kIdempotent.end(), aMethod) !=
         kIdempotent.end();
}

namespace {

/// How to read one of the Coltsfootshed header fields of a request. read_
/// stores the value in the terms and returns false if it is not valid.
struct FieldRule
{
  std::string_view name_;
  std::string_view expected_;
  bool (*read_)(std::string_view, const Document&, RequestTerms&);
};

} // namespace

static bool ReadClass(std::string_view aValue,
                      const Document&,
                      RequestTerms& aTerms)
{
  auto value = ClassFromName(aValue);
  aTerms.class_ = value.value_or(aTerms.class_);
  return value.has_value();
}

static bool ReadTenant(std::string_view aValue,
                       const Document& aDocument,
                       RequestTerms& aTerms)
{
  aTerms.tenant_ = aValue;
  return aDocument.tenants_.contains(aValue);
}

static bool ReadDeadline(std::string_view aValue,
                         const Document&,
                         RequestTerms& aTerms)
{
  std::int64_t number = 0;
  const char* last = aValue.data() + aValue.size();
  auto [end, error] = std::from_chars(aValue.data(), last, number);
  aTerms.timeLeft_ = Millis(number);
  return error == std::errc() && end == last && number >= 1 &&
         number <= kMaxDeadlineMs;
}

static bool ReadIdempotent(std::string_view aValue,
                           const Document&,
                           RequestTerms& aTerms)
{
  aTerms.idempotent_ = aValue == "true";
  return aValue == "true" || aValue == "false";
}

static bool ReadRequestId(std::string_view aValue,
                          const Document&,
                          RequestTerms& aTerms)
{
  aTerms.requestId_ = aValue;
  return !aValue.empty() && aValue.size() <= kMaxRequestIdLength;
}

static constexpr std::array<FieldRule, 5> kFieldRules = {
  { { kClassHeader, "urgent, standard or background", &ReadClass },
    { kTenantHeader, "the name of a tenant in the document", &ReadTenant },
    { kDeadlineHeader, "milliseconds from 1 to 600000", &ReadDeadline },
    { kIdempotentHeader, "true or false", &ReadIdempotent },
    { kRequestIdHeader, "1 to 128 characters", &ReadRequestId } }
};

static tl::expected<void, RequestError> ReadRequestField(
  std::string_view aName,
  std::string_view aValue,
  const Document& aDocument,
  RequestTerms& aTerms)
{
  for (const FieldRule& rule : kFieldRules) {
    if (!EqualsIgnoringCase(rule.name_, aName)) {
      continue;
    }
    if (rule.read_(aValue, aDocument, aTerms)) {
      return {};
    }
    return MakeError(400,
                     "header " + std::string(rule.name_) + ": expected " +
                       std::string(rule.expected_) + ", got \"" +
                       std::string(aValue) + "\"");
  }
  return MakeError(
    400, "header " + std::string(aName) + ": not a request header of ours");
}

tl::expected<CheckedRequest, RequestError> CheckRequest(
  const HttpRequest& aRequest,
  const Document& aDocument)
{
  if (aRequest.method_.empty()) {
    // The HTTP server leaves a method empty that it does not support.
    return MakeError(405, "the method is not supported");
  }
  CheckedRequest out;
  RequestTerms& terms = out.terms_;
  terms.service_ = ServiceOf(aRequest.target_);
  auto service = aDocument.services_.find(terms.service_);
  if (service == aDocument.services_.end()) {
    return tl::unexpected(UnknownService(terms.service_, aDocument));
  }
  const ServiceSpec& spec = service->second;
  terms.class_ = spec.class_;
  terms.timeLeft_ = spec.deadline_;
  terms.idempotent_ =
    spec.idempotent_.value_or(IsIdempotentMethod(aRequest.method_));
  for (const auto& [name, value] : aRequest.headers_) {
    if (StartsWithIgnoringCase(name, kProjectHeaderPrefix)) {
      auto read = ReadRequestField(name, value, aDocument, terms);
      if (!read) {
        return tl::unexpected(read.error());
      }
    } else if (!IsNotForwarded(name)) {
      out.content_.headers_.emplace_back(name, value);
    }
  }
  out.content_.method_ = aRequest.method_;
  out.content_.target_ = aRequest.target_;
  out.content_.body_ = aRequest.body_;
  return out;
}

} // namespace coltsfootshed
