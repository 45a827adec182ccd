/// \file
/// Settings of an entry VM that schedules jobs, as its host gives them.
#ifndef COLTSFOOTSHED_NODE_NODESETTINGS_H
#define COLTSFOOTSHED_NODE_NODESETTINGS_H

#include "coltsfootshed/Settings/Settings.h"

#include <optional>

namespace coltsfootshed {

struct NodeSettings
{
  std::string node_;
  std::string dataCentre_;
  Endpoint front_; ///< listener for clients
  Endpoint ready_; ///< listener for the balancer's readiness checks
  Endpoint peers_; ///< listener for other entry VMs, and for metrics
  Endpoint store_;
  std::optional<Endpoint> advice_;
  std::optional<Endpoint> machines_; ///< service that moves and maintains VMs
  double cpuShare_ = 1;              ///< of one core
  Millis leastLease_{ 1000 };        ///< shortest lease of the store
  Millis stopGrace_{ 6000 };         ///< from the stop signal to the kill
  Millis longestHold_{ 10000 };      ///< longest lease that a target grants
  Millis keepEnded_{ 120000 };       ///< ended jobs can be asked for
  Millis machineLease_{ 3000 };      ///< holders may not take turns within
  double farFactor_ = 1;
};

} // namespace coltsfootshed

#endif
