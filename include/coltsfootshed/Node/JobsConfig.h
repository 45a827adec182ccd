/// \file
/// The configuration of queues and services that entry VMs serve.
#ifndef COLTSFOOTSHED_NODE_JOBSCONFIG_H
#define COLTSFOOTSHED_NODE_JOBSCONFIG_H

#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

struct QueueConfig
{
  std::string name_;
  std::string host_;
  std::string prefix_; ///< of the path; the rest is a job's id
  std::string service_;
  int priority_ = 0; ///< 0 comes first
  int maxAttempts_ = 1;
  double stretch_ = 1;
  Millis aim_{ 0 };
  bool advised_ = false;
};

struct ServiceConfig
{
  std::string name_;
  bool spare_ = false; ///< its VMs are off and are not paid for
};

struct JobsConfig
{
  std::uint64_t version_ = 0;
  std::vector<QueueConfig> queues_;
  std::vector<ServiceConfig> services_;

  /// The queue with the longest prefix of a path, or null.
  const QueueConfig* Find(std::string_view aHost, std::string_view aPath) const;
};

/// VMs that are due for maintenance.
struct WaveConfig
{
  std::int64_t number_ = 0;
  std::vector<std::string> vms_;
  Millis duration_{ 0 }; ///< from its announcement to its end
  int cap_ = 1;          ///< VMs down at once
};

} // namespace coltsfootshed

#endif
