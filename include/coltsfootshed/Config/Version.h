/// \file
/// A configuration version as it is kept in the platform: a small head that
/// names immutable sections by digest.
#ifndef COLTSFOOTSHED_CONFIG_VERSION_H
#define COLTSFOOTSHED_CONFIG_VERSION_H

#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Key of the head in the platform's key-value service.
inline constexpr std::string_view kHeadKey = "config/head";
/// Prefix of a section's key; its digest follows.
inline constexpr std::string_view kSectionPrefix = "config/section/";

/// What config/head holds. An absent head is version 0.
struct Head
{
  std::uint64_t version_ = 0;
  std::string submission_; ///< unique per submission, tells lost answers apart
  std::string author_;
  std::int64_t unixTime_ = 0;         ///< seconds, of the accepting entry VM
  std::vector<std::string> sections_; ///< digests, in document order

  std::string ToJson() const;
};

/// Parses ToJson()'s output.
Result<Head> HeadFromJson(std::string_view aJson);

/// Sections by digest.
using Sections = std::map<std::string, std::string, std::less<>>;

/// Cuts a document before each line that opens a table, so that an edit
/// changes few sections. The pieces in order give back the exact text.
std::vector<std::string> SplitDocument(std::string_view aText);

/// Fills aHead's section digests from aText and returns the sections.
Sections BuildSections(std::string_view aText, Head& aHead);

/// The document text of aHead, or the digest that is missing.
Result<std::string> JoinSections(const Head& aHead, const Sections& aSections);

} // namespace coltsfootshed

#endif
