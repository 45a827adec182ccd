/// \file
/// Decides which VMs serve which pool, and when each VM of a maintenance wave
/// is taken down. Knows no sockets.
///
/// Load that it answers: queues that ask in turn for several times their mean.
/// Pools grow with what waits and arrives, take VMs from idle pools and the
/// spare pool, and give idle VMs back, as each VM in a pool costs.
#ifndef COLTSFOOTSHED_POOLS_POOLPLANNER_H
#define COLTSFOOTSHED_POOLS_POOLPLANNER_H

#include "coltsfootshed/Node/JobsConfig.h"
#include "coltsfootshed/Pools/VmCalls.h"
#include "coltsfootshed/Support/Clock.h"

#include <map>
#include <set>
#include <span>
#include <variant>

namespace coltsfootshed {

/// The list of VMs may lag behind an order by this much.
inline constexpr Millis kVmListLag{ 2500 };

/// What a service's scheduler says of one of its targets.
struct TargetUse
{
  std::string target_;
  int runs_ = 0;
  int lasting_ = 0;       ///< of them, runs that end only when cancelled
  bool vacating_ = false; ///< takes no starts
};

/// What a service's scheduler says of its pool.
struct PoolReport
{
  std::string service_;
  Resources used_;    ///< by runs
  Resources lasting_; ///< of it, by runs that end only when cancelled
  Resources waiting_; ///< by tasks that could start now
  /// Of used_ and waiting_, what only targets with a label can run.
  std::map<std::string, Resources> byLabel_;
  /// Of waiting_, what is fastest on a rack.
  std::map<std::string, Resources> byRack_;
  double arrivingCpu_ = 0; ///< thousandths of a core that new work keeps busy
  int leastVms_ = 0;       ///< that its steps need so as to spread their tasks
  std::vector<TargetUse> targets_;
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
/// Tells the operator how far a wave is.
struct ShowWave
{
  std::int64_t wave_ = 0;
  bool complete_ = false;
};
using PoolOrder = std::variant<MoveVm, MaintainVm, ShowWave>;

class PoolPlanner
{
public:
  explicit PoolPlanner(const Clock& aClock);

  void SetServices(std::span<const ServiceConfig> aServices);
  void SetWave(const WaveConfig& aWave);
  void SetVms(std::vector<PoolVm> aVms);
  /// Plans nothing for a VM for some time.
  void LeaveAlone(const std::string& aVm, Millis aTime);
  /// An earlier manager may have ordered a VM's maintenance just now.
  void NoteMaintenance(const std::string& aVm, std::int64_t aWave);
  void SetReport(const PoolReport& aReport);
  /// Answer to an order.
  void OnVmOrder(const std::string& aVm, VmOrderEnd aEnd);

  /// The state of a wave could not be shown.
  void ShowAgain(std::int64_t aWave);

  /// Orders that follow from all that is known now.
  std::vector<PoolOrder> Decide();
  /// Targets of a service that must take no starts.
  std::vector<std::string> Vacating(std::string_view aService) const;

  /// Saved form of what maintenance has begun, and its change count.
  std::string EncodeWaves() const;
  void LoadWaves(std::string_view aText);
  std::uint64_t WaveChanges() const { return waveChanges_; }

private:
  /// Room above the load that comes and goes, so that new work starts at once
  /// and a lost VM hurts little.
  static constexpr double kHeadroom = 1.2;

  struct Report
  {
    PoolReport content_;
    Millis at_{ 0 };
  };
  enum class Intent
  {
    Move,
    Maintain
  };
  /// Why a VM is being emptied, or what was ordered for it.
  struct Plan
  {
    Intent intent_ = Intent::Move;
    std::string pool_;      ///< for a move
    std::int64_t wave_ = 0; ///< for maintenance
    Millis since_{ 0 };
    bool ordered_ = false; ///< the call is under way
    Millis orderAt_{ 0 };  ///< not before
  };
  struct Wave
  {
    WaveConfig config_;
    Millis since_{ 0 };
    std::set<std::string> begun_;
    std::map<std::string, Millis> beganAt_;
    bool shownRunning_ = false;
    bool complete_ = false;
  };

  const PoolVm* FindVm(std::string_view aVm) const;
  const Report* FreshReport(std::string_view aService) const;
  const TargetUse* UseOf(const PoolVm& aVm) const;
  static double VmsFor(double aCpu, double aMemory, const Resources& aVmSize);
  static int Needed(const PoolReport& aReport, const Resources& aVmSize);
  std::map<std::string, int> MissingByLabel(const PoolReport& aReport);
  int Count(std::string_view aPool, std::string_view aLabel = {}) const;
  bool IsSpare(std::string_view aPool) const { return spare_ == aPool; }
  bool IsFree(const PoolVm& aVm) const;
  void PlanWaves(std::vector<PoolOrder>& aOrders);
  void PlanWave(Wave& aWave, std::vector<PoolOrder>& aOrders);
  int DownFor(const Wave& aWave) const;
  void DropStalePlans();
  void PlanMoves();
  void LogPool(const Report& aReport, int aMissing);
  /// Which VMs may leave a pool for another.
  struct Taking
  {
    std::string from_;
    std::string to_;
    int most_ = 0;
    std::string label_; ///< only VMs that carry it; empty: any
  };
  int PlanTake(const Taking& aTaking);
  void TakeLabelled(const std::string& aService);
  int LackOn(const PoolVm& aVm) const;
  std::string LacksText(const std::string& aService);
  bool IsWanted(const PoolVm& aVm, std::string_view aService) const;
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
  std::map<std::string, Millis> surplusSince_; ///< by service
  /// VMs lacking by label, negative if there are more than needed, by service.
  std::map<std::string, std::map<std::string, int>, std::less<>> byLabel_;
  std::map<std::string, Millis> loggedAt_;  ///< by service
  std::map<std::string, Millis> notBefore_; ///< by VM, after a refusal
  std::set<std::pair<std::string, std::string>> impossible_;      ///< VM, pool
  std::map<std::string, std::pair<std::string, Millis>> movedTo_; ///< by VM
  /// Targets whose VM was moved or maintained: their service, and when.
  std::map<std::string, std::pair<std::string, Millis>> left_;
  std::uint64_t waveChanges_ = 0;
};

} // namespace coltsfootshed

#endif
