#include "coltsfootshed/Settings/Settings.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace coltsfootshed {

/// The first one is the default.
static constexpr std::array<std::string_view, 4> kLogLevels = { "info",
                                                                "debug",
                                                                "warn",
                                                                "error" };

std::string Endpoint::Text() const
{
  return address_ + ":" + std::to_string(port_);
}

std::optional<Endpoint> ParseEndpoint(std::string_view aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address_ = aText.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, endpoint.address_.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  std::string_view port = aText.substr(colon + 1);
  auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), endpoint.port_);
  bool whole = end == port.data() + port.size();
  if (error != std::errc() || !whole || endpoint.port_ == 0) {
    return std::nullopt;
  }
  return endpoint;
}

static Endpoint ReadEndpoint(TableReader& aReader, std::string_view aKey)
{
  std::string text = aReader.RequiredText(aKey);
  auto endpoint = ParseEndpoint(text);
  if (!endpoint && !text.empty()) {
    aReader.Report(aKey, "an IPv4 address and port, as in \"10.0.0.1:8080\"");
  }
  return endpoint.value_or(Endpoint{});
}

static std::vector<Endpoint> ReadSeeds(TableReader& aReader)
{
  std::vector<Endpoint> seeds;
  for (const std::string& text : aReader.Texts("seeds")) {
    auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      aReader.Report(
        "seeds", "IPv4 addresses with ports, and \"" + text + "\" is not one");
      continue;
    }
    seeds.push_back(*endpoint);
  }
  return seeds;
}

tl::expected<Settings, std::vector<Fault>> ReadSettings(std::string_view aText)
{
  std::vector<Fault> faults;
  auto parsed = ParseToml(aText, "settings", faults);
  if (!parsed) {
    return tl::unexpected(faults);
  }
  const toml::table& root = *parsed;
  TableReader reader(root, "", faults);
  Settings settings;
  settings.node_ = reader.RequiredText("node");
  settings.dataCentre_ = reader.RequiredText("data_centre");
  settings.callers_ = ReadEndpoint(reader, "callers");
  settings.peers_ = ReadEndpoint(reader, "peers");
  settings.admin_ = ReadEndpoint(reader, "admin");
  settings.adminTokenFile_ = reader.Text("admin_token_file", "");
  settings.platform_ = ReadEndpoint(reader, "platform");
  settings.seeds_ = ReadSeeds(reader);
  settings.logLevel_ = reader.Choice("log_level", kLogLevels);
  settings.logJson_ = reader.Bool("log_json", false);
  settings.stopGrace_ =
    Millis(reader.Int("stop_grace_ms", { 0, 600000, 1000 }));
  settings.maxBodyBytes_ =
    reader.Int("max_body_bytes", { 1, 1 << 30, std::int64_t{ 8 } << 20 });
  settings.maxCallerConnections_ =
    reader.Int("max_callers", { 1, 1000000, 10000 });
  reader.Finish();
  if (!faults.empty()) {
    return tl::unexpected(faults);
  }
  return settings;
}

} // namespace coltsfootshed
