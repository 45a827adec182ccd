#include "coltsfootshed/Accounts/Credentials.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr std::string_view kHeader = "Authorization";
static constexpr std::string_view kScheme = "Bearer ";
/// Longest API key in bytes; common key formats stay below it.
static constexpr std::size_t kMaxKeyLength = 256;

std::string_view TextOf(CredentialFault aFault)
{
  switch (aFault) {
    case CredentialFault::Missing:
      return "the Authorization header is missing";
    case CredentialFault::Doubled:
      return "more than one Authorization header";
    case CredentialFault::Oversized:
      return "the Authorization header is too long";
    case CredentialFault::Malformed:
      break;
  }
  return "the Authorization header is not \"Bearer\" and an API key";
}

/// Returns true for the characters of a token: visible ASCII.
static bool IsTokenCharacter(char aByte)
{
  return aByte > ' ' && aByte <= '~';
}

tl::expected<std::string_view, CredentialFault> ReadApiKey(
  const Headers& aHeaders)
{
  const std::string* value = nullptr;
  for (const auto& [name, text] : aHeaders) {
    if (!EqualsIgnoringCase(name, kHeader)) {
      continue;
    }
    if (value != nullptr) {
      return tl::unexpected(CredentialFault::Doubled);
    }
    value = &text;
  }
  if (value == nullptr) {
    return tl::unexpected(CredentialFault::Missing);
  }
  if (value->size() > kScheme.size() + kMaxKeyLength) {
    return tl::unexpected(CredentialFault::Oversized);
  }
  if (!StartsWithIgnoringCase(*value, kScheme)) {
    return tl::unexpected(CredentialFault::Malformed);
  }
  std::string_view key = std::string_view(*value).substr(kScheme.size());
  if (key.empty() || !std::all_of(key.begin(), key.end(), IsTokenCharacter)) {
    return tl::unexpected(CredentialFault::Malformed);
  }
  return key;
}

} // namespace coltsfootshed
