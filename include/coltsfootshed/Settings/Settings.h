/// \file
/// Settings of one daemon process, from its TOML file.
#ifndef COLTSFOOTSHED_SETTINGS_SETTINGS_H
#define COLTSFOOTSHED_SETTINGS_SETTINGS_H

#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/TableReader.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <tuple>
#include <vector>

namespace coltsfootshed {

/// An IPv4 address with a port.
struct Endpoint
{
  std::string address_;
  std::uint16_t port_ = 0;

  std::string Text() const;
  bool operator==(const Endpoint&) const = default;
  bool operator<(const Endpoint& aOther) const
  {
    return std::tie(address_, port_) < std::tie(aOther.address_, aOther.port_);
  }
};

/// Parses an IPv4 address and a port from 1 to 65535, as in "10.0.0.1:8080";
/// returns nothing for any other text.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

struct Settings
{
  std::string node_;       ///< unique name of this process
  std::string dataCentre_; ///< data centre of this process
  Endpoint callers_;       ///< listener for requests
  Endpoint peers_;         ///< listener for other entry VMs
  Endpoint admin_;         ///< listener for operators
  /// File with the operators' token; empty: calls that need it are refused.
  std::string adminTokenFile_;
  Endpoint platform_;           ///< the platform's services
  std::vector<Endpoint> seeds_; ///< peers to contact first
  std::string logLevel_;
  bool logJson_ = false;
  Millis stopGrace_{ 1000 };              ///< how long the listener stays open
                                          ///< after SIGTERM
  std::int64_t maxBodyBytes_ = 0;         ///< most bytes of a request body
  std::int64_t maxCallerConnections_ = 0; ///< most caller connections
};

/// Parses and checks the text of a settings file; on failure returns every
/// fault.
tl::expected<Settings, std::vector<Fault>> ReadSettings(std::string_view aText);

} // namespace coltsfootshed

#endif
