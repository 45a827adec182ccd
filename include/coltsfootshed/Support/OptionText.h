/// \file
/// Takes ownership of the option strings that popt allocates.
#ifndef COLTSFOOTSHED_SUPPORT_OPTIONTEXT_H
#define COLTSFOOTSHED_SUPPORT_OPTIONTEXT_H

#include <cstdlib>
#include <string>

namespace coltsfootshed {

/// Frees aText and returns its copy, or aDefault if it is null.
inline std::string TakeOptionText(char* aText, const char* aDefault = "")
{
  std::string out = aText == nullptr ? aDefault : aText;
  std::free(aText);
  return out;
}

} // namespace coltsfootshed

#endif
