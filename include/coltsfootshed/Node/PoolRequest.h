/// \file
/// What the pool manager tells the leader of a service, several times a second.
#ifndef COLTSFOOTSHED_NODE_POOLREQUEST_H
#define COLTSFOOTSHED_NODE_POOLREQUEST_H

#include "coltsfootshed/Accounts/CapShares.h"

#include <optional>
#include <string>
#include <vector>

namespace coltsfootshed {

struct PoolRequest
{
  Fence managerFence_ = 0;
  std::vector<std::string> vacating_; ///< targets that must get no new runs
  /// Of PoolReport::unanswered_, the targets that no longer exist.
  std::vector<std::string> gone_;
  std::optional<CapOrder> caps_; ///< if accounts have caps
};

} // namespace coltsfootshed

#endif
