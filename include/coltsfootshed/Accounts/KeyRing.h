/// \file
/// Finds the account of an API key under one version of the configuration.
#ifndef COLTSFOOTSHED_ACCOUNTS_KEYRING_H
#define COLTSFOOTSHED_ACCOUNTS_KEYRING_H

#include "coltsfootshed/Accounts/Account.h"

#include <map>
#include <span>

namespace coltsfootshed {

class KeyRing
{
public:
  /// Copies what it needs of aAccounts. If several accounts list a key, it is
  /// none of theirs, as a call with it cannot be charged to one of them.
  explicit KeyRing(std::span<const AccountConfig> aAccounts);

  /// Returns the name of the account, or null if no account has the key.
  const std::string* Find(std::string_view aKey) const;

private:
  std::map<KeyDigest, std::string> accounts_; ///< empty: of several accounts
};

} // namespace coltsfootshed

#endif
