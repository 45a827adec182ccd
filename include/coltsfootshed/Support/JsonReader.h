/// \file
/// Reads JSON documents that others have written, and that may be malformed.
/// ReadJson() and ParseJson() check size and nesting before they build a tree,
/// and return every failure as an Error. The other functions are for use within
/// the function passed to ReadJson(): they throw std::exception.
#ifndef COLTSFOOTSHED_SUPPORT_JSONREADER_H
#define COLTSFOOTSHED_SUPPORT_JSONREADER_H

#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace coltsfootshed {

using Json = nlohmann::json;

struct JsonLimits
{
  std::size_t bytes_ = 0; ///< longest document
  int depth_ = 16;        ///< most arrays and objects within each other
};

/// Limits of documents that entry VMs write for each other, in the store and in
/// calls. The store takes values of up to 1 MiB.
inline constexpr JsonLimits kOwnDocument{ std::size_t(4) << 20 };

/// A range of whole numbers, both ends included.
struct IntegerRange
{
  std::int64_t min_ = 0;
  std::int64_t max_ = 0;
};

/// JSON readers that use floating point represent whole numbers up to here.
inline constexpr std::int64_t kMaxExactInteger = std::int64_t(1) << 53;
/// Any count, sequence number or time that is not negative.
inline constexpr IntegerRange kAnyCount{ 0, kMaxExactInteger };
/// A number of items that fits into an int.
inline constexpr IntegerRange kSmallCount{ 0, 1000000000 };

/// Parses a document. The error names aOperation and aPeer.
Result<Json> ParseJson(std::string_view aText,
                       const JsonLimits& aLimits,
                       std::string_view aOperation,
                       std::string_view aPeer = {});

/// Makes the error of a document that cannot be read; counts it in the metrics.
tl::unexpected<Error> FailToRead(std::string_view aOperation,
                                 std::string_view aPeer,
                                 std::string_view aReason);

/// Parses a document and returns what aRead makes of it. An exception thrown by
/// aRead becomes an error.
template<typename T, typename Read>
Result<T> ReadJson(std::string_view aText,
                   const JsonLimits& aLimits,
                   std::string_view aOperation,
                   std::string_view aPeer,
                   const Read& aRead)
{
  auto json = ParseJson(aText, aLimits, aOperation, aPeer);
  if (!json) {
    return tl::unexpected(std::move(json.error()));
  }
  try {
    return aRead(std::as_const(*json));
  } catch (const std::exception& failure) {
    return FailToRead(aOperation, aPeer, failure.what());
  }
}

/// Returns a whole number within aRange. Throws if aValue is anything else; a
/// floating-point number is accepted if it has no fraction.
std::int64_t IntegerOf(const Json& aValue, IntegerRange aRange);
/// Returns an integer field, or aDefault if it is missing or null.
std::int64_t IntegerField(const Json& aObject,
                          const char* aName,
                          IntegerRange aRange,
                          std::int64_t aDefault = 0);
/// Returns a field that holds milliseconds, or 0 if it is missing or null. A
/// fraction is cut off.
Millis MillisField(const Json& aObject, const char* aName);
/// Returns true if the field is true, a number other than 0, any string, or a
/// non-empty array or object.
bool FlagField(const Json& aObject, const char* aName);

/// Returns a field, or aDefault if it is missing or null. Not for whole
/// numbers, as the library converts those that do not fit.
template<typename T>
T Field(const Json& aObject, const char* aName, T aDefault)
{
  static_assert(!std::is_integral_v<T> || std::is_same_v<T, bool>,
                "IntegerField() checks the range");
  auto found = aObject.find(aName);
  return found == aObject.end() || found->is_null() ? std::move(aDefault)
                                                    : found->template get<T>();
}

} // namespace coltsfootshed

#endif
