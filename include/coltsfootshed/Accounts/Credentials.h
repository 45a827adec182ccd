/// \file
/// Reads the API key that a client sends with a call.
#ifndef COLTSFOOTSHED_ACCOUNTS_CREDENTIALS_H
#define COLTSFOOTSHED_ACCOUNTS_CREDENTIALS_H

#include "coltsfootshed/Http/Message.h"

#include <string_view>
#include <tl/expected.hpp>

namespace coltsfootshed {

/// Why a call carries no usable API key, whatever the configuration says.
enum class CredentialFault
{
  Missing,   ///< no Authorization header
  Doubled,   ///< more than one Authorization header
  Oversized, ///< longer than any API key
  Malformed  ///< not "Bearer" and one token
};

/// Returns a text for clients that names the fault.
std::string_view TextOf(CredentialFault aFault);

/// Returns the API key of a call. The view is into aHeaders. Takes time that is
/// bounded by the number of headers, however long their values are.
tl::expected<std::string_view, CredentialFault> ReadApiKey(
  const Headers& aHeaders);

} // namespace coltsfootshed

#endif
