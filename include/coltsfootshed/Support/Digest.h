/// \file
/// Content digests that name immutable values.
#ifndef COLTSFOOTSHED_SUPPORT_DIGEST_H
#define COLTSFOOTSHED_SUPPORT_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// 32 hexadecimal digits of the 128-bit xxHash of aBytes.
std::string Digest(std::string_view aBytes);

/// 64-bit xxHash of aBytes, for rendezvous hashing.
std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace coltsfootshed

#endif
