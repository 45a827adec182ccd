/// \file
/// A client account, as the operators' configuration describes it.
#ifndef COLTSFOOTSHED_ACCOUNTS_ACCOUNT_H
#define COLTSFOOTSHED_ACCOUNTS_ACCOUNT_H

#include "coltsfootshed/Accounts/KeyDigest.h"
#include "coltsfootshed/Jobs/JobSpec.h"

#include <span>
#include <string>
#include <vector>

namespace coltsfootshed {

struct AccountConfig
{
  std::string name_;
  /// Share of the capacity when all is full, relative to other accounts.
  std::int64_t weight_ = 1;
  /// Most that it may have running on all targets together. An amount of 0
  /// stands for no limit.
  Resources cap_;
  std::vector<KeyDigest> keys_; ///< of its API keys

  bool HasCap() const { return cap_ != Resources(); }
};

/// Identifies the caps of a configuration: equal for equal caps, whatever else
/// the configurations hold.
std::string DigestOfCaps(std::span<const AccountConfig> aAccounts);

} // namespace coltsfootshed

#endif
