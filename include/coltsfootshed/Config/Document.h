/// \file
/// The operators' configuration document, parsed and validated. With
/// --platform, Node/JobsConfig.h has the configuration instead.
#ifndef COLTSFOOTSHED_CONFIG_DOCUMENT_H
#define COLTSFOOTSHED_CONFIG_DOCUMENT_H

#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/TableReader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace coltsfootshed {

/// Urgency of a request, most urgent first.
enum class RequestClass
{
  Urgent,
  Standard,
  Background
};
constexpr std::size_t kClassCount = 3;

/// Returns "urgent", "standard" or "background".
std::string_view ClassName(RequestClass aClass);
/// Returns the class with the given name, if any.
std::optional<RequestClass> ClassFromName(std::string_view aName);

/// A set of VMs that serve one purpose.
struct PoolSpec
{
  std::vector<std::string> vms_;    ///< members, by VM name
  std::vector<std::string> drain_;  ///< members to take out of service
  std::int64_t maxUnavailable_ = 1; ///< VMs that may be out of service at once
  bool spare_ = false;              ///< lends its VMs to other pools
};

/// A service that clients reach under /<name>/.
struct ServiceSpec
{
  std::string pool_;
  RequestClass class_ = RequestClass::Standard; ///< if the request names none
  std::optional<bool> idempotent_;   ///< overrides the HTTP method's semantics
  std::int64_t slots_ = 8;           ///< requests a target runs at once
  std::int64_t connections_ = 64;    ///< connections a target accepts
  std::int64_t queueLimit_ = 256;    ///< requests waiting in one entry VM
  Millis deadline_{ 10000 };         ///< if the request names none
  Millis usualResponseTime_{ 1000 }; ///< silence after which a target is probed
  double retryRatio_ = 0.1;          ///< retries allowed per successful request
  std::string probePath_;            ///< a GET of it is answered at once
};

/// A client account, whose requests are queued separately.
struct TenantSpec
{
  std::int64_t weight_ = 1; ///< share within a class, relative to others
};

/// A maintenance wave: drains and reboots each selected VM once.
struct WaveSpec
{
  std::vector<std::string> pools_; ///< empty: all pools
  std::vector<std::string> racks_; ///< empty: all racks
  bool paused_ = false; ///< starts no VM, and returns draining ones to service
};

/// The whole configuration document.
struct Document
{
  std::string site_;
  double reserveWeight_ = 0.5; ///< 0: favours service, 1: few spares; unused
  std::map<std::string, PoolSpec, std::less<>> pools_;
  std::map<std::string, ServiceSpec, std::less<>> services_;
  std::map<std::string, TenantSpec, std::less<>> tenants_;
  std::map<std::string, WaveSpec, std::less<>> waves_;
};

/// Parses and validates a whole document. On failure returns all faults in
/// order of line, each with line, field and what was expected.
tl::expected<Document, std::vector<Fault>> ReadDocument(std::string_view aText);

} // namespace coltsfootshed

#endif
