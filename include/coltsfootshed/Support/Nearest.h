/// \file
/// Finds the known word that is most similar to a misspelt one.
#ifndef COLTSFOOTSHED_SUPPORT_NEAREST_H
#define COLTSFOOTSHED_SUPPORT_NEAREST_H

#include <set>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// Returns the member of aKnown with the smallest edit distance to aWord, or an
/// empty string if none is within two edits.
std::string Nearest(std::string_view aWord,
                    const std::set<std::string, std::less<>>& aKnown);

} // namespace coltsfootshed

#endif
