#include "coltsfootshed/Support/JsonReader.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace coltsfootshed {

/// The parser's messages quote the document, whatever its length.
static constexpr std::size_t kMaxReasonBytes = 200;
/// Longest time in a document, about 31,700 years.
static constexpr double kMaxMillis = 1e15;

/// Returns whether a document nests more than aDepth arrays and objects. Reads
/// each byte once and keeps nothing, as a parsed tree of some hundred thousand
/// levels takes many times the memory of its text.
static bool IsNestedDeeper(std::string_view aText, int aDepth)
{
  int depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    char c = aText[i];
    if (inString) {
      i += c == '\\' ? 1 : 0;
      inString = c != '"';
      continue;
    }
    inString = c == '"';
    depth += c == '[' || c == '{' ? 1 : 0;
    depth -= c == ']' || c == '}' ? 1 : 0;
    if (depth > aDepth) {
      return true;
    }
  }
  return false;
}

tl::unexpected<Error> FailToRead(std::string_view aOperation,
                                 std::string_view aPeer,
                                 std::string_view aReason)
{
  Count("documents_unreadable");
  return Fail(std::string(aOperation),
              std::string(aPeer),
              std::string(aReason.substr(0, kMaxReasonBytes)));
}

Result<Json> ParseJson(std::string_view aText,
                       const JsonLimits& aLimits,
                       std::string_view aOperation,
                       std::string_view aPeer)
{
  if (aText.size() > aLimits.bytes_) {
    return FailToRead(aOperation,
                      aPeer,
                      std::to_string(aText.size()) + " bytes are more than " +
                        std::to_string(aLimits.bytes_));
  }
  if (IsNestedDeeper(aText, aLimits.depth_)) {
    return FailToRead(aOperation,
                      aPeer,
                      "nested deeper than " + std::to_string(aLimits.depth_) +
                        " levels");
  }
  try {
    return Json::parse(aText);
  } catch (const std::exception& failure) {
    return FailToRead(aOperation, aPeer, failure.what());
  }
}

std::int64_t IntegerOf(const Json& aValue, IntegerRange aRange)
{
  std::int64_t value = 0;
  bool isExact = false;
  if (aValue.is_number_unsigned()) {
    auto number = aValue.get<std::uint64_t>();
    isExact = number <= static_cast<std::uint64_t>(kMaxExactInteger);
    value = isExact ? static_cast<std::int64_t>(number) : 0;
  } else if (aValue.is_number_integer()) {
    value = aValue.get<std::int64_t>();
    isExact = true;
  } else if (aValue.is_number_float()) {
    auto number = aValue.get<double>();
    isExact = std::abs(number) <= static_cast<double>(kMaxExactInteger) &&
              std::trunc(number) == number;
    value = isExact ? static_cast<std::int64_t>(number) : 0;
  }
  if (!isExact || value < aRange.min_ || value > aRange.max_) {
    throw std::out_of_range("expected a whole number from " +
                            std::to_string(aRange.min_) + " to " +
                            std::to_string(aRange.max_));
  }
  return value;
}

std::int64_t IntegerField(const Json& aObject,
                          const char* aName,
                          IntegerRange aRange,
                          std::int64_t aDefault)
{
  auto found = aObject.find(aName);
  if (found == aObject.end() || found->is_null()) {
    return aDefault;
  }
  try {
    return IntegerOf(*found, aRange);
  } catch (const std::out_of_range& failure) {
    throw std::out_of_range(std::string(aName) + ": " + failure.what());
  }
}

Millis MillisField(const Json& aObject, const char* aName)
{
  auto value = Field<double>(aObject, aName, 0.0);
  if (!(std::abs(value) <= kMaxMillis)) {
    throw std::out_of_range(std::string(aName) + ": time out of range");
  }
  return Millis(static_cast<std::int64_t>(value));
}

bool FlagField(const Json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  if (found == aObject.end() || found->is_null()) {
    return false;
  }
  if (found->is_boolean()) {
    return found->get<bool>();
  }
  return found->is_number() ? found->get<double>() != 0 : !found->empty();
}

} // namespace coltsfootshed
