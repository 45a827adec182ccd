/// \file
/// State of one service in one entry VM: its queue, its targets and its retry
/// budget.
#ifndef COLTSFOOTSHED_REQUESTS_SERVICESTATE_H
#define COLTSFOOTSHED_REQUESTS_SERVICESTATE_H

#include "coltsfootshed/Admission/ServiceQueue.h"
#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Routing/RetryBudget.h"
#include "coltsfootshed/Routing/TargetChooser.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

class ServiceState
{
public:
  ServiceState(const Clock& aClock,
               std::string aName,
               const ServiceSpec& aSpec);

  void SetSpec(const ServiceSpec& aSpec);
  const ServiceSpec& Spec() const { return spec_; }
  const std::string& Name() const { return name_; }

  /// Recomputes how many slots of each target this node may use. aTargets
  /// must be in the same order on all nodes.
  void UpdateTargets(std::span<const std::string> aTargets,
                     const PeerTable& aPeers,
                     std::string_view aNode);
  /// Returns the load to report to peers. UpdateTargets() uses the demand
  /// reported last, so that all nodes compute shares from the same figures.
  ServiceLoad TakeLoadReport();
  /// True if waiting requests should be handed over to another data centre.
  bool NeedsHandover() const;

  ServiceQueue queue_;
  TargetChooser chooser_;
  RetryBudget budget_;
  /// Requests that hold a slot and wait for a target for another attempt.
  std::deque<RequestId> retries_;

private:
  std::string name_;
  ServiceSpec spec_;
  std::int64_t reportedDemand_ = 0;
};

} // namespace coltsfootshed

#endif
