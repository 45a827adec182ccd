/// \file
/// Digests of API keys. Processes keep these only, so that no key can get into
/// a log line, an error, a metric or a message between entry VMs.
#ifndef COLTSFOOTSHED_ACCOUNTS_KEYDIGEST_H
#define COLTSFOOTSHED_ACCOUNTS_KEYDIGEST_H

#include <array>
#include <string_view>

namespace coltsfootshed {

/// A SHA-256 digest.
using KeyDigest = std::array<unsigned char, 32>;

KeyDigest DigestOfKey(std::string_view aKey);

} // namespace coltsfootshed

#endif
