/// \file
/// The configuration of the queues and services that entry VMs serve with
/// --platform. Without it, Config/Document.h has the configuration.
#ifndef COLTSFOOTSHED_NODE_JOBSCONFIG_H
#define COLTSFOOTSHED_NODE_JOBSCONFIG_H

#include "coltsfootshed/Accounts/KeyRing.h"
#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

struct QueueConfig
{
  std::string name_;
  std::string host_;
  std::string prefix_; ///< path prefix; a job's id follows it
  std::string service_;
  int priority_ = 0; ///< 0 is the highest
  int maxAttempts_ = 1;
  /// A job's completion objective is stretch_ times its critical path, plus
  /// objectiveBase_.
  double stretch_ = 1;
  Millis objectiveBase_{ 0 };
  bool needsTickets_ = false; ///< needs tickets of the advice service
  bool public_ = false; ///< calls need no API key; jobs belong to no account
};

struct ServiceConfig
{
  std::string name_;
  bool spare_ = false; ///< the spare pool: its VMs are off and cost nothing
};

struct JobsConfig
{
  std::uint64_t version_ = 0;
  std::vector<QueueConfig> queues_;
  std::vector<std::uint32_t> queuesByName_; ///< indices of queues_
  std::vector<ServiceConfig> services_;
  /// Whether calls need the API key of an account, unless their queue is
  /// public.
  bool hasAccounts_ = false;
  std::vector<AccountConfig> accounts_;
  KeyRing keys_{ {} }; ///< of accounts_

  /// Returns the queue of a host whose prefix is the longest that matches a
  /// path, or null. A port in aHost is ignored.
  const QueueConfig* Find(std::string_view aHost, std::string_view aPath) const;
  /// Prepares FindByName(), once queues_ is complete.
  void IndexQueues();
  /// Returns the queue with a name, or null.
  const QueueConfig* FindByName(std::string_view aName) const;
  /// Returns the names of the services, without the spare pool.
  std::set<std::string> ServedServices() const;
};

/// A maintenance wave: VMs that are due for maintenance together.
struct WaveConfig
{
  std::int64_t number_ = 0;
  std::vector<std::string> vms_;
  Millis duration_{ 0 };   ///< from announcement to end
  int maxUnavailable_ = 1; ///< most VMs that may be down at once
};

} // namespace coltsfootshed

#endif
