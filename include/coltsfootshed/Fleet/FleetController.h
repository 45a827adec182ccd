/// \file
/// Controller that runs a data centre's planned operations step by step: it
/// reads the fleet records and budgets, plans, and writes by compare-and-swap.
#ifndef COLTSFOOTSHED_FLEET_FLEETCONTROLLER_H
#define COLTSFOOTSHED_FLEET_FLEETCONTROLLER_H

#include "coltsfootshed/Fleet/FleetPlanner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootshed {

/// A value stored in the platform.
struct StoredText
{
  std::uint64_t revision_ = 0; ///< 0: the key does not exist
  std::string text_;
};

/// The controller's next request to the platform.
struct FleetAction
{
  enum class Kind
  {
    Read,   ///< read key_
    Write,  ///< write value_ to key_ if the revision is still revision_
    Reboot, ///< send the command reboot_
    Pause   ///< nothing to do at present
  };
  Kind kind_ = Kind::Pause;
  std::string key_;
  std::string value_;
  std::uint64_t revision_ = 0;
  RebootVm reboot_;
};

/// Decides what to read and write; the caller performs the action that Next()
/// returns and reports how it ended. Several controllers may act on a data
/// centre at once, even with outdated reads after a pause, because safety rests
/// on compare-and-swap. An action whose result is unknown is planned again from
/// fresh reads.
///
/// Operators know the controller as the steward, in status, log and lease
/// names.
class FleetController
{
public:
  explicit FleetController(std::string aDataCentre);

  /// Returns the next action for this document and these observations.
  FleetAction Next(const Document& aDocument,
                   const VmObserver& aObserver,
                   const LocalVms& aLocalVms);
  /// Call when a read has succeeded. A value that cannot be parsed is dropped,
  /// and Next() returns the same read again.
  void OnRead(const StoredText& aStored);
  /// Call when a write or command has ended, whatever its result, or when a
  /// read has failed. Everything is read again before the next plan.
  void OnActionEnded();

  /// Fleet records as last read; empty before the first read.
  const FleetState& Fleet() const { return fleet_; }

private:
  std::vector<std::string> PoolsToRead(const Document& aDocument) const;
  FleetAction Plan(const Document& aDocument,
                   const VmObserver& aObserver,
                   const LocalVms& aLocalVms);

  std::string dataCentre_;
  FleetState fleet_;
  std::uint64_t fleetRevision_ = 0;
  PoolBudgets budgets_;
  std::map<std::string, std::uint64_t, std::less<>> budgetRevisions_;
  bool hasFleet_ = false;
  /// Pool whose budget is being read; empty while the records are read.
  std::string readingPool_;
};

} // namespace coltsfootshed

#endif
