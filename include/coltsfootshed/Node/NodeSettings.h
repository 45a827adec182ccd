/// \file
/// Settings of an entry VM that schedules jobs.
#ifndef COLTSFOOTSHED_NODE_NODESETTINGS_H
#define COLTSFOOTSHED_NODE_NODESETTINGS_H

#include "coltsfootshed/Settings/Settings.h"

#include <optional>

namespace coltsfootshed {

struct NodeSettings
{
  std::string node_; ///< name of this entry VM
  std::string dataCentre_;
  Endpoint front_; ///< listener for clients
  Endpoint ready_; ///< listener for the balancer's readiness checks
  Endpoint peers_; ///< listener for other entry VMs, and for metrics
  Endpoint store_;
  std::optional<Endpoint> advice_;
  std::optional<Endpoint> vmService_;  ///< service that moves and maintains VMs
  double cpuShare_ = 1;                ///< of one CPU core
  double linkMbps_ = 0;                ///< of its network link; 0: not known
  Millis minLease_{ 1000 };            ///< shortest lease that the store grants
  Millis stopGrace_{ 6000 };           ///< from stop signal to kill
  Millis longestTargetLease_{ 10000 }; ///< longest lease that a target grants
  Millis longestStop_{ 900 }; ///< from a stop order to the end of the run
  /// From the acceptance of a job until every VM must know it.
  Millis jobVisibilityDeadline_{ 3000 };
  Millis endedJobRetention_{ 120000 }; ///< how long an ended job can be queried
  /// Within this time, two pool managers must not both order the same VM.
  Millis vmHolderLease_{ 3000 };
  /// A VM is expected to keep all bounds again this long after a disruption.
  Millis contactTime_{ 3000 };
  /// From the acknowledgement of a configuration until it must be in force.
  Millis configDeadline_{ 2000 };
  double remoteDataSlowdown_ = 1; ///< slowdown of a task away from its data
};

} // namespace coltsfootshed

#endif
