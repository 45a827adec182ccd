#include "coltsfootshed/Http/Message.h"

#include <algorithm>
#include <array>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

namespace coltsfootshed {

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool StartsWithIgnoringCase(std::string_view aText, std::string_view aPrefix)
{
  return EqualsIgnoringCase(aText.substr(0, aPrefix.size()), aPrefix);
}

std::optional<std::string_view> FindHeader(const Headers& aHeaders,
                                           std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualsIgnoringCase(name, aName)) {
      return value;
    }
  }
  return std::nullopt;
}

bool IsNotForwarded(std::string_view aName)
{
  static constexpr std::array<std::string_view, 9> kNotForwarded = {
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Upgrade",
    "Trailer",    "Content-Length",    "Expect"
  };
  return std::any_of(
    kNotForwarded.begin(), kNotForwarded.end(), [&](auto aField) {
      return EqualsIgnoringCase(aField, aName);
    });
}

std::string QueryValue(std::string_view aTarget, std::string_view aKey)
{
  std::size_t queryStart = aTarget.find('?');
  if (queryStart == std::string_view::npos) {
    return "";
  }
  std::string query(aTarget.substr(queryStart + 1));
  evkeyvalq fields{};
  std::string out;
  if (evhttp_parse_query_str(query.c_str(), &fields) == 0) {
    const char* value = evhttp_find_header(&fields, std::string(aKey).c_str());
    out = value == nullptr ? "" : value;
  }
  evhttp_clear_headers(&fields);
  return out;
}

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace coltsfootshed
