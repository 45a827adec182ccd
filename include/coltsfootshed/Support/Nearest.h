/// \file
/// Suggests the known word that a misspelt one was most likely meant to be.
#ifndef COLTSFOOTSHED_SUPPORT_NEAREST_H
#define COLTSFOOTSHED_SUPPORT_NEAREST_H

#include <set>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// The member of aKnown with the smallest edit distance to aWord, or an empty
/// text if none is within two edits.
std::string Nearest(std::string_view aWord,
                    const std::set<std::string, std::less<>>& aKnown);

} // namespace coltsfootshed

#endif
