/// \file
/// Digests that identify immutable values by their content.
#ifndef COLTSFOOTSHED_SUPPORT_DIGEST_H
#define COLTSFOOTSHED_SUPPORT_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// Returns the 128-bit xxHash of aBytes as 32 hexadecimal digits.
std::string Digest(std::string_view aBytes);

/// Returns the 64-bit xxHash of aBytes, for rendezvous hashing.
std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace coltsfootshed

#endif
