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

/// An IP address with a port.
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

/// Parses "10.0.0.1:8080"; the address must be an IPv4 number.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

struct Settings
{
  std::string node_;       ///< unique name of this process
  std::string dataCentre_; ///< data centre it stands in
  Endpoint callers_;       ///< listener for requests
  Endpoint peers_;         ///< listener for other entry VMs
  Endpoint admin_;         ///< listener for operators
  std::string adminTokenFile_;
  Endpoint platform_;
  std::vector<Endpoint> seeds_; ///< peers to contact first
  std::string logLevel_;
  bool logJson_ = false;
  Millis stopGrace_{ 1000 };    ///< listener stays open after SIGTERM
  std::int64_t maxBody_ = 0;    ///< bytes of one request body
  std::int64_t maxCallers_ = 0; ///< caller connections
};

/// Parses and checks a settings file's text.
tl::expected<Settings, std::vector<Fault>> ReadSettings(std::string_view aText);

} // namespace coltsfootshed

#endif
