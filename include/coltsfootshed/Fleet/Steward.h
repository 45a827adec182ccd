/// \file
/// Carries out a data centre's planned operations step by step: reads what the
/// platform holds, plans, and writes by compare-and-swap.
#ifndef COLTSFOOTSHED_FLEET_STEWARD_H
#define COLTSFOOTSHED_FLEET_STEWARD_H

#include "coltsfootshed/Fleet/FleetPlanner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootshed {

/// A value as the platform holds it.
struct StoredText
{
  std::uint64_t revision_ = 0; ///< 0: the key does not exist
  std::string text_;
};

/// What a steward asks of the platform next.
struct StewardAction
{
  enum class Kind
  {
    Read,   ///< key_
    Write,  ///< key_, value_, if the revision is still revision_
    Reboot, ///< reboot_
    Rest    ///< nothing to do at present
  };
  Kind kind_ = Kind::Rest;
  std::string key_;
  std::string value_;
  std::uint64_t revision_ = 0;
  RebootVm reboot_;
};

/// Any number may run at once, also paused ones with old reads: what holds is
/// the compare-and-swap. The caller carries out Next() and reports its end; a
/// step whose end is not known is simply begun anew.
class Steward
{
public:
  explicit Steward(std::string aDataCentre);

  /// The next action under this document and these observations.
  StewardAction Next(const Document& aDocument,
                     const VmObserver& aObserver,
                     const LocalVms& aLocalVms);
  void OnRead(const StoredText& aStored);
  /// A write or command has ended, whatever its result, or a read has failed:
  /// everything is read again.
  void OnEnded();

  /// Records as last read, with their revision.
  const FleetState& Fleet() const { return fleet_; }

private:
  std::vector<std::string> PoolsToRead(const Document& aDocument) const;
  StewardAction Plan(const Document& aDocument,
                     const VmObserver& aObserver,
                     const LocalVms& aLocalVms);

  std::string dataCentre_;
  FleetState fleet_;
  std::uint64_t fleetRevision_ = 0;
  PoolBudgets budgets_;
  std::map<std::string, std::uint64_t, std::less<>> budgetRevisions_;
  bool hasFleet_ = false;
  std::string reading_; ///< pool whose budget is being read, empty: records
};

} // namespace coltsfootshed

#endif
