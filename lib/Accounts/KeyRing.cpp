#include "coltsfootshed/Accounts/KeyRing.h"

namespace coltsfootshed {

KeyRing::KeyRing(std::span<const AccountConfig> aAccounts)
{
  for (const AccountConfig& account : aAccounts) {
    for (const KeyDigest& key : account.keys_) {
      auto [entry, isNew] = accounts_.try_emplace(key, account.name_);
      if (!isNew && entry->second != account.name_) {
        entry->second.clear();
      }
    }
  }
}

const std::string* KeyRing::Find(std::string_view aKey) const
{
  auto found = accounts_.find(DigestOfKey(aKey));
  bool isKnown = found != accounts_.end() && !found->second.empty();
  return isKnown ? &found->second : nullptr;
}

} // namespace coltsfootshed
