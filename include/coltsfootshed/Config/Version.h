/// \file
/// A configuration version as stored in the platform: a small head that lists
/// immutable sections by digest.
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

/// Value of config/head. Version 0 stands for an absent head.
struct Head
{
  std::uint64_t version_ = 0;
  /// Unique id of the submission. It shows whether a write without an answer
  /// succeeded.
  std::string submission_;
  std::string author_;
  std::int64_t unixTime_ = 0; ///< seconds, by the accepting entry VM's clock
  std::vector<std::string> sections_; ///< digests, in document order

  std::string ToJson() const;
};

/// Parses ToJson()'s output.
Result<Head> HeadFromJson(std::string_view aJson);

/// Section texts by digest.
using Sections = std::map<std::string, std::string, std::less<>>;

/// Splits a document before each line that starts with '[', so that an edit
/// changes few sections. Joined in order, the pieces are the exact text.
std::vector<std::string> SplitDocument(std::string_view aText);

/// Splits aText into sections, sets aHead's digests and returns the sections.
Sections BuildSections(std::string_view aText, Head& aHead);

/// Returns the document text of aHead, or an error that names the first missing
/// digest.
Result<std::string> JoinSections(const Head& aHead, const Sections& aSections);

} // namespace coltsfootshed

#endif
