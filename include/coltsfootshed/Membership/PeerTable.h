/// \file
/// State of the other entry VMs, as they report it.
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

/// Address at which peers reach an entry VM.
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
  std::int64_t spare_ = 0;  ///< free slots that other data centres may use
};
using ServiceLoads = std::map<std::string, ServiceLoad, std::less<>>;

/// A VM that the reporting node knows to be out of service under this fence and
/// on which it has no request in flight.
struct QuietVm
{
  std::string vm_;
  std::uint64_t fence_ = 0;

  bool operator==(const QuietVm&) const = default;
};

/// State of an entry VM, as it reports it to its peers.
struct NodeReport
{
  NodeAddress self_;
  std::uint64_t version_ = 0;    ///< of the configuration in force
  std::uint64_t vmRevision_ = 0; ///< of the VM list of its data centre
  bool stopping_ = false;
  ServiceLoads loads_;
  std::vector<LeavingMark> marks_;
  std::vector<NodeAddress> known_;  ///< addresses of other entry VMs
  std::uint64_t fleetRevision_ = 0; ///< of its data centre's fleet records
  std::vector<QuietVm> quiet_;
};

/// Holds the latest report of each node. A report is valid for kReportLifetime
/// after its arrival.
class PeerTable
{
public:
  /// How long a report is valid without a newer one from its node.
  static constexpr Millis kReportLifetime{ 5000 };
  /// How long a silent node's address is kept and passed on to peers.
  static constexpr Millis kForgetAfter{ 600000 };

  PeerTable(const Clock& aClock, NodeAddress aSelf);

  /// Takes a report and the addresses that it lists.
  void Merge(const NodeReport& aReport);
  /// Drops nodes that have been silent for longer than kForgetAfter.
  void Forget();

  bool IsLive(std::string_view aNode) const;
  /// Returns the latest reports of the live nodes other than this one.
  std::vector<const NodeReport*> LiveReports() const;
  /// Returns all known addresses except this node's own.
  std::vector<NodeAddress> KnownAddresses() const;
  /// Returns the demand for a service of each live node of this data centre
  /// that is not stopping, with aOwnDemand for this node.
  Demands LocalDemands(std::string_view aService,
                       std::int64_t aOwnDemand) const;
  /// Returns true if every other node of this data centre that may still send
  /// work to a VM has reported it as quiet. A node that fell silent without
  /// stopping may still send work until it is forgotten.
  bool IsQuietOnAllNodes(const QuietVm& aVm) const;
  /// Returns true if this node is one of the two in its data centre that watch
  /// the platform on behalf of the others: the live nodes whose names have the
  /// lowest hashes. Nodes that see different peers may briefly choose others.
  bool IsWatcher() const;
  /// Returns the live node of another data centre, not in aTried, with the most
  /// spare slots for a service after subtracting those in aUsed, by node.
  /// Returns nothing if no node has any.
  std::optional<std::string> FindNodeWithSpareSlots(
    std::string_view aService,
    const std::map<std::string, std::int64_t, std::less<>>& aUsed,
    const std::set<std::string, std::less<>>& aTried) const;

private:
  struct Entry
  {
    NodeReport report_;
    Millis heardAt_{ 0 };
    bool hasReport_ = false; ///< false: only the address is known
  };

  bool IsFresh(const Entry& aEntry) const;

  const Clock& clock_;
  NodeAddress self_;
  std::map<std::string, Entry, std::less<>> entries_;
};

} // namespace coltsfootshed

#endif
