/// \file
/// Decides which VMs serve which pool, and when each VM of a maintenance wave
/// is taken down. Does no input or output itself.
///
/// Expects queues whose load peaks in turn at several times its mean. Pools
/// grow with waiting and arriving work, take VMs from idle pools and the spare
/// pool, and return idle VMs, since each VM in a pool costs money. A fleet that
/// is too small for all pools is divided, see FleetDivision.h.
#ifndef COLTSFOOTSHED_POOLS_POOLPLANNER_H
#define COLTSFOOTSHED_POOLS_POOLPLANNER_H

#include "coltsfootshed/Accounts/CapShares.h"
#include "coltsfootshed/Node/JobsConfig.h"
#include "coltsfootshed/Pools/FleetDivision.h"
#include "coltsfootshed/Pools/VmCalls.h"
#include "coltsfootshed/Support/Clock.h"

#include <map>
#include <set>
#include <span>
#include <variant>

namespace coltsfootshed {

/// Maximum delay until the list of VMs shows the effect of an order.
inline constexpr Millis kVmListLag{ 2500 };

/// Use of one target, as its service's scheduler reports it.
struct TargetUse
{
  std::string target_;
  int runs_ = 0;
  int longRunning_ = 0;   ///< of these, end only when cancelled
  bool vacating_ = false; ///< being emptied: takes no starts
  /// The saved roster may name it, so a new leader would wait for its answer.
  bool inRoster_ = false;
  /// Estimated time until the last of its runs ends, without long-running ones.
  Millis emptyIn_{ 0 };
};

/// A target of the saved roster, and the VM on which it ran.
struct RosterTarget
{
  std::string target_;
  std::string vm_;
};

/// Load of a service's pool, as the service's scheduler reports it.
struct PoolReport
{
  std::string service_;
  Resources used_;        ///< by runs
  Resources longRunning_; ///< part of used_, by long-running runs
  Resources waiting_;     ///< needed by tasks that could start now
  /// Part of used_ and waiting_ that belongs to jobs which can be in time,
  /// without longRunning_.
  Resources inTime_;
  /// Part of used_ and waiting_ that only targets with a label can run.
  std::map<std::string, Resources> byLabel_;
  /// Part of waiting_ that runs fastest on a certain rack, by rack.
  std::map<std::string, Resources> byRack_;
  /// Thousandths of a core that expected new work keeps busy.
  double arrivingCpu_ = 0;
  int minVms_ = 0; ///< needed to spread the tasks of its steps
  std::vector<TargetUse> targets_;
  /// Targets for whose answer a new leader waits.
  std::vector<RosterTarget> unanswered_;
  std::optional<CapReport> caps_; ///< if accounts have caps
};

std::string EncodeReport(const PoolReport& aReport);
Result<PoolReport> DecodeReport(std::string_view aText);

struct MoveVm
{
  std::string vm_;
  std::string pool_;
};
struct MaintainVm
{
  std::string vm_;
  std::int64_t wave_ = 0;
};
/// Publishes the state of a wave for the operator: running or complete.
struct PublishWave
{
  std::int64_t wave_ = 0;
  bool complete_ = false;
};
using PoolOrder = std::variant<MoveVm, MaintainVm, PublishWave>;

class PoolPlanner
{
public:
  explicit PoolPlanner(const Clock& aClock);

  void SetServices(std::span<const ServiceConfig> aServices);
  /// Adds a wave, or replaces its configuration and keeps its progress.
  void SetWave(const WaveConfig& aWave);
  /// Replaces the list of VMs. A move whose order has succeeded counts as
  /// taking place until the list shows it, for at most kVmListLag.
  void SetVms(std::vector<PoolVm> aVms);
  /// Makes no plans for a VM for the given time.
  void SuspendPlanning(const std::string& aVm, Millis aTime);
  /// Counts a VM as in maintenance for kVmListLag, as an earlier manager may
  /// just have ordered it. Does nothing if the wave has not been set, as for
  /// number 0, which stands for a move.
  void RecordMaintenanceOrder(const std::string& aVm, std::int64_t aWave);
  /// Replaces the report of its service. A report that is not replaced in time
  /// is too old to be acted on.
  void SetReport(const PoolReport& aReport);
  /// Takes the outcome of a MoveVm or MaintainVm order.
  void OnVmOrderEnd(const std::string& aVm, VmOrderEnd aEnd);

  /// Makes Decide() return the PublishWave orders of a wave again, after a
  /// failure to publish.
  void RepublishWave(std::int64_t aWave);

  /// Returns the orders to carry out now.
  std::vector<PoolOrder> Decide();
  /// Returns the targets of a service that must take no starts: their VM is to
  /// be emptied, or has just been moved or taken down.
  std::vector<std::string> VacatingTargets(std::string_view aService) const;

  /// Returns the stored form of the maintenance begun in each wave.
  /// WaveChanges() counts its changes.
  std::string EncodeWaves() const;
  /// Loads EncodeWaves()'s output. Skips waves that have not been set; text
  /// that is not a JSON array is logged and ignored.
  void LoadWaves(std::string_view aText);
  std::uint64_t WaveChanges() const { return waveChanges_; }

private:
  /// Capacity per unit of varying load. The excess lets new work start at once
  /// and softens the loss of a VM.
  static constexpr double kHeadroom = 1.2;

  struct Report
  {
    PoolReport content_;
    Millis receivedAt_{ 0 };
    /// Index into content_.targets_, by target.
    std::map<std::string, std::size_t, std::less<>> uses_;
  };
  enum class Intent
  {
    Move,
    Maintain
  };
  /// What a VM is being emptied for, and whether the order has been given.
  struct Plan
  {
    Intent intent_ = Intent::Move;
    std::string pool_;      ///< for a move
    std::int64_t wave_ = 0; ///< for maintenance
    Millis since_{ 0 };
    bool ordered_ = false;    ///< the call is in flight
    Millis orderAfter_{ 0 };  ///< earliest time of the order
    bool isForLabel_ = false; ///< the pool lacks a label that the VM carries
    Millis timeout_{ 0 }; ///< age at which a move without an order is dropped
  };
  /// A pool's VMs against its needs.
  struct PoolBalance
  {
    std::string service_;
    int serving_ = 0;
    int needed_ = 0;         ///< VMs that it lacks; negative: surplus
    int due_ = 0;            ///< VMs that it lacks of its part of the fleet
    int dueNow_ = 0;         ///< of these, for present work
    bool isShort_ = false;   ///< has lacked VMs for present work for a while
    bool hasExcess_ = false; ///< has had more than its part for a while

    /// Counts VMs that are to move to the pool; negative: out of it.
    void Receive(int aVms)
    {
      needed_ -= aVms;
      due_ -= aVms;
      dueNow_ -= aVms;
    }
  };
  struct Wave
  {
    WaveConfig config_;
    Millis since_{ 0 };
    /// VMs whose maintenance has begun; saved.
    std::set<std::string> startedVms_;
    std::map<std::string, Millis> startedAt_; ///< by VM; not saved
    bool publishedRunning_ = false;
    bool complete_ = false;
  };

  const PoolVm* FindVm(std::string_view aVm) const;
  const Report* FreshReport(std::string_view aService) const;
  const TargetUse* FindUse(const PoolVm& aVm) const;
  static double VmsToCarry(double aCpu,
                           double aMemory,
                           const Resources& aVmSize);
  static PoolDemand DemandOf(const PoolReport& aReport,
                             const Resources& aVmSize);
  std::map<std::string, int> LabelDeficits(const PoolReport& aReport);
  int CountServing(std::string_view aPool, std::string_view aLabel = {}) const;
  bool IsSpare(std::string_view aPool) const { return spare_ == aPool; }
  bool IsAvailable(const PoolVm& aVm) const;
  void PlanWaves(std::vector<PoolOrder>& aOrders);
  void PlanWave(Wave& aWave, std::vector<PoolOrder>& aOrders);
  int CountInMaintenance(const Wave& aWave) const;
  void DropStalePlans();
  void PlanMoves();
  std::vector<PoolBalance> BalancePools();
  void DropUnneededMoves(PoolBalance& aTaker);
  void PlanSurplusMoves(PoolBalance& aGiver, std::vector<PoolBalance>& aPools);
  void PlanRebalancing(std::vector<PoolBalance>& aPools);
  bool HasLasted(std::map<std::string, Millis>& aSince,
                 const std::string& aService,
                 bool aHolds,
                 Millis aTime) const;
  void LogPool(const PoolBalance& aPool);
  /// A request to move VMs from one pool to another.
  struct Transfer
  {
    std::string from_;
    std::string to_;
    int maxVms_ = 0;
    std::string label_; ///< that the VMs must carry; empty: any
  };
  int PlanTransfer(const Transfer& aTransfer);
  void PlanLabelMoves(std::span<const std::string> aServices);
  int DeficitOf(const std::string& aService, const std::string& aLabel) const;
  int LargestDeficit(const PoolVm& aVm) const;
  std::string DeficitText(const std::string& aService);
  bool IsNearWaitingWork(const PoolVm& aVm, std::string_view aService) const;
  Resources VmSize(std::string_view aPool) const;
  void OrderEmptied(std::vector<PoolOrder>& aOrders);
  bool IsEmptied(const PoolVm& aVm) const;

  const Clock& clock_;
  std::set<std::string> services_;
  std::string spare_;
  std::map<std::string, PoolVm, std::less<>> vms_;
  std::map<std::string, Report, std::less<>> reports_;
  std::map<std::string, Plan, std::less<>> plans_; ///< by VM
  std::map<std::int64_t, Wave> waves_;
  // Since when a pool has had VMs that it does not need, has lacked some for
  // present work, or has had more than its part of the fleet; by service.
  std::map<std::string, Millis> surplusSince_;
  std::map<std::string, Millis> shortSince_;
  std::map<std::string, Millis> excessSince_;
  /// VMs that a service lacks, by service and label; negative: surplus.
  std::map<std::string, std::map<std::string, int>, std::less<>> labelDeficits_;
  std::map<std::string, Millis> loggedAt_;  ///< by service
  std::map<std::string, Millis> planAfter_; ///< earliest next plan, by VM
  /// Moves that the platform rules out: VM and pool.
  std::set<std::pair<std::string, std::string>> impossible_;
  std::map<std::string, std::pair<std::string, Millis>> movedTo_; ///< by VM
  /// Targets whose VM was moved or maintained, with their service and the time.
  std::map<std::string, std::pair<std::string, Millis>> departed_;
  std::uint64_t waveChanges_ = 0;
};

} // namespace coltsfootshed

#endif
