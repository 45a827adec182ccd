#include "coltsfootshed/Accounts/KeyDigest.h"

#include <openssl/sha.h>

namespace coltsfootshed {

static_assert(std::tuple_size_v<KeyDigest> == SHA256_DIGEST_LENGTH);

KeyDigest DigestOfKey(std::string_view aKey)
{
  KeyDigest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         digest.data());
  return digest;
}

} // namespace coltsfootshed
