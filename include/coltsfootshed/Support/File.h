/// \file
/// Reads whole files.
#ifndef COLTSFOOTSHED_SUPPORT_FILE_H
#define COLTSFOOTSHED_SUPPORT_FILE_H

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace coltsfootshed {

/// Returns the bytes of a file, or nothing if it cannot be opened.
inline std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the first word of a token file, or nothing if it cannot be opened. A
/// file without a word yields an empty string.
inline std::optional<std::string> ReadTokenFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  std::string token;
  file >> token;
  return token;
}

} // namespace coltsfootshed

#endif
