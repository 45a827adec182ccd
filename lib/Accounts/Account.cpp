#include "coltsfootshed/Accounts/Account.h"

#include "coltsfootshed/Support/Digest.h"

#include <set>

namespace coltsfootshed {

std::string DigestOfCaps(std::span<const AccountConfig> aAccounts)
{
  std::set<std::string> lines;
  for (const AccountConfig& account : aAccounts) {
    if (account.HasCap()) {
      lines.insert(account.name_ + '\n' + std::to_string(account.cap_.cpu_) +
                   '\n' + std::to_string(account.cap_.memory_) + '\n' +
                   std::to_string(account.cap_.gpu_) + '\n');
    }
  }
  std::string text;
  for (const std::string& line : lines) {
    text += line;
  }
  return Digest(text);
}

} // namespace coltsfootshed
