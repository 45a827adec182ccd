/// \file
/// What this entry VM knows of the others, from their reports.
#ifndef COLTSFOOTSHED_MEMBERSHIP_PEERTABLE_H
#define COLTSFOOTSHED_MEMBERSHIP_PEERTABLE_H

#include "coltsfootshed/Membership/VmTable.h"
#include "coltsfootshed/Routing/SlotShares.h"
#include "coltsfootshed/Settings/Settings.h"
#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Where an entry VM can be reached by its peers.
struct NodeAddress
{
  std::string node_;
  std::string dataCentre_;
  Endpoint endpoint_;
};

/// Load of one service in one entry VM.
struct ServiceLoad
{
  std::int64_t demand_ = 0; ///< requests running or waiting
  std::int64_t spare_ = 0;  ///< slots free for other data centres
};
using ServiceLoads = std::map<std::string, ServiceLoad, std::less<>>;

/// A VM that its node knows to be out under this fence, and has no request
/// under way on.
struct QuietVm
{
  std::string vm_;
  std::uint64_t fence_ = 0;

  bool operator==(const QuietVm&) const = default;
};

/// What an entry VM says of itself.
struct NodeReport
{
  NodeAddress self_;
  std::uint64_t version_ = 0;    ///< configuration in force
  std::uint64_t vmRevision_ = 0; ///< VM list of its data centre
  bool stopping_ = false;
  ServiceLoads loads_;
  std::vector<LeavingMark> marks_;
  std::vector<NodeAddress> known_;
  std::uint64_t fleetRevision_ = 0; ///< records of its data centre
  std::vector<QuietVm> quiet_;
};

/// Reports by node, each valid for a lease after it arrived.
class PeerTable
{
public:
  /// How long a report stands without news of its node.
  static constexpr Millis kLease{ 5000 };
  /// How long a silent node's address is still told to others.
  static constexpr Millis kForgetAfter{ 600000 };

  PeerTable(const Clock& aClock, NodeAddress aSelf);

  void Merge(const NodeReport& aReport);
  /// Drops nodes that have been silent for long.
  void Forget();

  bool IsLive(std::string_view aNode) const;
  /// Live nodes other than this one.
  std::vector<const NodeReport*> Live() const;
  /// Every known address other than this node's own.
  std::vector<NodeAddress> Known() const;
  /// Demand for a service over the live nodes of this data centre, with
  /// aOwnDemand for this node.
  Demands LocalDemands(std::string_view aService,
                       std::int64_t aOwnDemand) const;
  /// True if every node of this data centre that may still send work to a VM
  /// has reported it quiet. A node that went silent without stopping counts
  /// until it is forgotten.
  bool AllQuiet(const QuietVm& aVm) const;
  /// True if this node is one of the two of its data centre that watch the
  /// platform on behalf of the others.
  bool IsWatcher() const;
  /// The live node of another data centre with most spare slots for a service
  /// beyond what aUsed says are in use, leaving out aTried.
  std::optional<std::string> FindSpare(
    std::string_view aService,
    const std::map<std::string, std::int64_t, std::less<>>& aUsed,
    const std::set<std::string, std::less<>>& aTried) const;

private:
  struct Entry
  {
    NodeReport report_;
    Millis heard_{ 0 };
    bool reported_ = false; ///< false: known by address only
  };

  bool IsFresh(const Entry& aEntry) const;

  const Clock& clock_;
  NodeAddress self_;
  std::map<std::string, Entry, std::less<>> entries_;
};

} // namespace coltsfootshed

#endif
