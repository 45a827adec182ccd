/// \file
/// The platform, the VMs and the entry VMs as stewards under test see them,
/// and the oracle of what must hold.
#ifndef COLTSFOOTSHED_UNITTESTS_FLEET_FLEETWORLD_H
#define COLTSFOOTSHED_UNITTESTS_FLEET_FLEETWORLD_H

#include "coltsfootshed/Fleet/Steward.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coltsfootshed {

/// A decision that is wrong on purpose, to show that the oracle can fail.
enum class FleetMutant
{
  None,
  AlwaysQuiet,      ///< drains count as done at once
  NoCompareAndSwap, ///< writes replace whatever is there
  BudgetUnread,     ///< a pool's disruptions are taken for none
  FenceIgnored,     ///< every record keeps the same fence
  CommandRepeated   ///< the platform reboots again for the same command
};

class FleetWorld final : private VmObserver
{
public:
  explicit FleetWorld(FleetMutant aMutant = FleetMutant::None);

  // Events; aPick chooses among what exists.
  void Act(unsigned aPick);
  void DeliverRead(unsigned aPick);
  void ApplyDelayed(unsigned aPick);
  void Replace(unsigned aPick);
  void NewDocument(unsigned aPick);
  void LearnDocument(unsigned aPick);
  void LearnRecords(unsigned aPick);
  void StartRequest(unsigned aPick);
  void EndRequest(unsigned aPick);
  void FailOrRepair(unsigned aPick);
  void Boot(unsigned aPick);

  /// Ends all faults and lets everyone act; what the last document asks for
  /// must then come about.
  void Settle();
  const std::string& Violation() const { return violation_; }

private:
  struct StewardNode
  {
    std::string dataCentre_;
    std::unique_ptr<Steward> steward_;
    std::size_t document_ = 0;
    bool hasRead_ = false;
    StoredText read_; ///< on its way
  };
  struct EntryNode
  {
    std::string dataCentre_;
    FleetState known_;
    std::map<std::string, int> underWay_; ///< by VM
  };
  struct DelayedWrite
  {
    StewardAction action_;
  };

  bool IsFailed(std::string_view aVm) const override;
  bool IsQuiet(std::string_view aVm, std::uint64_t aFence) const override;
  bool IsRebooted(std::string_view aVm,
                  std::string_view aOperation) const override;
  bool IsAnswering(std::string_view aVm) const override;

  const Document& DocumentOf(const StewardNode& aNode) const;
  bool Write(const StewardAction& aAction);
  void Reboot(const RebootVm& aCommand);
  void CheckBudgetWrite(const std::string& aKey,
                        const PoolBudget& aBefore,
                        const PoolBudget& aAfter);
  void CheckRecords();
  /// What the last document asks for and has not come about.
  std::string Unsettled() const;
  FleetState RecordsOf(std::string_view aDataCentre) const;
  PoolBudget BudgetOf(std::string_view aPool) const;
  void Check(bool aHolds, const std::string& aText);

  FleetMutant mutant_;
  std::vector<Document> documents_; ///< accepted, in order
  std::map<std::string, StoredText, std::less<>> values_;
  std::uint64_t revision_ = 0;
  std::map<std::string, LocalVms, std::less<>> localVms_;
  std::vector<StewardNode> stewards_;
  std::vector<EntryNode> entries_;
  std::vector<DelayedWrite> delayed_;
  std::vector<RebootVm> delayedReboots_;
  std::set<std::string, std::less<>> failed_;
  std::set<std::string, std::less<>> booting_;
  std::set<std::pair<std::string, std::string>> reboots_; ///< VM, operation
  std::string violation_;
};

} // namespace coltsfootshed

#endif
