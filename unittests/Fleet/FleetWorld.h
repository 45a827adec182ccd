/// \file
/// Simulates the platform, the VMs and the entry VMs around fleet controllers
/// under test, and checks the invariants that must hold.
#ifndef COLTSFOOTSHED_UNITTESTS_FLEET_FLEETWORLD_H
#define COLTSFOOTSHED_UNITTESTS_FLEET_FLEETWORLD_H

#include "coltsfootshed/Fleet/FleetController.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coltsfootshed {

/// A deliberate fault, which the oracle must detect.
enum class FleetMutant
{
  None,
  AlwaysQuiet,      ///< a drain counts as finished at once
  NoCompareAndSwap, ///< a write ignores the stored revision
  BudgetUnread,     ///< every budget is read as empty
  FenceIgnored,     ///< every record has the same fence
  CommandRepeated   ///< the platform repeats a reboot for the same command
};

class FleetWorld final : private VmObserver
{
public:
  explicit FleetWorld(FleetMutant aMutant = FleetMutant::None);

  // Events. aPick is a random number that selects the controller, entry VM,
  // VM, document or fault of the event.
  void RunController(unsigned aPick);
  void DeliverRead(unsigned aPick);
  void ApplyDelayed(unsigned aPick);
  void ReplaceController(unsigned aPick);
  void NewDocument(unsigned aPick);
  void LearnDocument(unsigned aPick);
  void LearnRecords(unsigned aPick);
  void StartRequest(unsigned aPick);
  void EndRequest(unsigned aPick);
  void FailOrRepair(unsigned aPick);
  void FinishBoots(unsigned aPick);

  /// Ends all faults and runs the controllers until the state that the last
  /// document asks for is reached. Not reaching it is a violation.
  void Settle();
  /// The first violated invariant; empty if there is none.
  const std::string& Violation() const { return violation_; }

private:
  struct ControllerNode
  {
    std::string dataCentre_;
    std::unique_ptr<FleetController> controller_;
    std::size_t document_ = 0; ///< index of the document that it knows
    bool hasRead_ = false;
    StoredText read_; ///< result that has not been delivered yet
  };
  struct EntryNode
  {
    std::string dataCentre_;
    FleetState known_; ///< records as this entry VM knows them
    std::map<std::string, int> requestsInFlight_; ///< by VM
  };
  struct DelayedWrite
  {
    FleetAction action_;
  };

  bool IsFailed(std::string_view aVm) const override;
  bool IsQuiet(std::string_view aVm, std::uint64_t aFence) const override;
  bool IsRebooted(std::string_view aVm,
                  std::string_view aRebootId) const override;
  bool IsAnswering(std::string_view aVm) const override;

  const Document& DocumentOf(const ControllerNode& aNode) const;
  bool Write(const FleetAction& aAction);
  void Reboot(const RebootVm& aCommand);
  void CheckBudgetWrite(const std::string& aKey,
                        const PoolBudget& aBefore,
                        const PoolBudget& aAfter);
  void CheckRecords();
  /// Returns what the last document asks for and is not reached, or an empty
  /// string.
  std::string Unsettled() const;
  FleetState RecordsOf(std::string_view aDataCentre) const;
  PoolBudget BudgetOf(std::string_view aPool) const;
  void Check(bool aHolds, const std::string& aText);

  FleetMutant mutant_;
  std::vector<Document> documents_; ///< accepted documents, oldest first
  std::map<std::string, StoredText, std::less<>> values_;
  std::uint64_t revision_ = 0;
  std::map<std::string, LocalVms, std::less<>> localVms_;
  std::vector<ControllerNode> controllers_;
  std::vector<EntryNode> entryNodes_;
  std::vector<DelayedWrite> delayedWrites_;
  std::vector<RebootVm> delayedReboots_;
  std::set<std::string, std::less<>> failed_;
  std::set<std::string, std::less<>> booting_;
  std::set<std::pair<std::string, std::string>> reboots_; ///< VM, reboot ID
  std::string violation_;
};

} // namespace coltsfootshed

#endif
