#include "coltsfootshed/Pools/PoolPlanner.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>
#include <cmath>

namespace coltsfootshed {

/// Maximum age of a report that is acted on. The service behind an older one
/// may have a new leader.
static constexpr Millis kMaxReportAge{ 700 };
/// VMs that a pool gets beyond its computed need.
static constexpr int kReserveVms = 1;
/// How long a pool keeps surplus VMs. Demand may return, and a move costs about
/// as much as a VM-second.
static constexpr Millis kSurplusDelay{ 1500 };
/// How long a pool must lack VMs for present work, and another have more than
/// its part of the fleet, before VMs that still have work are taken from there.
static constexpr Millis kImbalanceDelay{ 500 };
/// A planned move is dropped if its VM is not empty after this time, or after
/// kDrainTolerance times as long as it was expected to take.
static constexpr Millis kMoveTimeout{ 4000 };
static constexpr double kDrainTolerance = 1.5;
/// VMs that are expected to be empty later than this are not taken out of a
/// pool.
static constexpr Millis kMaxDrainTime{ 10000 };
/// How long a VM is drained for maintenance while its pool lacks one of its
/// labels. If it is not empty by then, it takes work again for as long.
static constexpr Millis kScarceVmTimeout{ 2000 };
/// Delay before an order that was not carried out is repeated, or before its
/// VM is planned for again.
static constexpr Millis kRetryDelay{ 500 };
/// Maximum time that a target's registry entry outlives a move of its VM: three
/// heartbeats and the registry's own delay.
static constexpr Millis kRegistryLag{ 10000 };
/// The platform's time for a move into the spare pool. The VM can be moved
/// again after it, even if the VM list still shows the move.
static constexpr Millis kMoveDuration{ 1600 };
/// Minimum time between log lines about one pool.
static constexpr Millis kLogInterval{ 1000 };

PoolPlanner::PoolPlanner(const Clock& aClock)
  : clock_(aClock)
{
}

void PoolPlanner::SetServices(std::span<const ServiceConfig> aServices)
{
  services_.clear();
  spare_.clear();
  for (const ServiceConfig& service : aServices) {
    if (service.spare_) {
      spare_ = service.name_;
    } else {
      services_.insert(service.name_);
    }
  }
}

void PoolPlanner::SetVms(std::vector<PoolVm> aVms)
{
  Millis now = clock_.Now();
  vms_.clear();
  for (PoolVm& vm : aVms) {
    auto moved = movedTo_.find(vm.vm_);
    // Until the list shows the effect of a move, assume that it takes place.
    if (moved != movedTo_.end()) {
      bool shown =
        (vm.pool_ == moved->second.first && vm.phase_ == VmPhase::Up) ||
        now - moved->second.second > kVmListLag;
      if (shown) {
        movedTo_.erase(moved);
      } else {
        vm.pool_ = moved->second.first;
        vm.phase_ = VmPhase::Moving;
      }
    }
    vms_.emplace(vm.vm_, vm);
  }
  std::erase_if(departed_, [&](const auto& aEntry) {
    return now - aEntry.second.second > kRegistryLag;
  });
  std::erase_if(plans_,
                [this](const auto& aEntry) { return !FindVm(aEntry.first); });
}

void PoolPlanner::SuspendPlanning(const std::string& aVm, Millis aTime)
{
  planAfter_[aVm] = clock_.Now() + aTime;
}

void PoolPlanner::SetReport(const PoolReport& aReport)
{
  Report report{ aReport, clock_.Now(), {} };
  for (std::size_t i = 0; i < aReport.targets_.size(); ++i) {
    report.uses_.emplace(aReport.targets_[i].target_, i);
  }
  reports_[aReport.service_] = std::move(report);
}

const PoolVm* PoolPlanner::FindVm(std::string_view aVm) const
{
  auto found = vms_.find(aVm);
  return found == vms_.end() ? nullptr : &found->second;
}

const PoolPlanner::Report* PoolPlanner::FreshReport(
  std::string_view aService) const
{
  auto found = reports_.find(aService);
  bool fresh = found != reports_.end() &&
               clock_.Now() - found->second.receivedAt_ <= kMaxReportAge;
  return fresh ? &found->second : nullptr;
}

const TargetUse* PoolPlanner::FindUse(const PoolVm& aVm) const
{
  const Report* report = FreshReport(aVm.pool_);
  if (report == nullptr) {
    return nullptr;
  }
  auto found = report->uses_.find(aVm.target_);
  return found == report->uses_.end()
           ? nullptr
           : &report->content_.targets_.at(found->second);
}

/// Returns how many VMs of the given size a load fills, not rounded.
double PoolPlanner::VmsToCarry(double aCpu,
                               double aMemory,
                               const Resources& aVmSize)
{
  return std::max(
    aCpu / static_cast<double>(std::max<std::int64_t>(1, aVmSize.cpu_)),
    aMemory / static_cast<double>(std::max<std::int64_t>(1, aVmSize.memory_)));
}

/// Returns how many VMs a pool needs, by purpose.
PoolDemand PoolPlanner::DemandOf(const PoolReport& aReport,
                                 const Resources& aVmSize)
{
  const Resources& longRunning = aReport.longRunning_;
  // Long-running runs free no room for new work and need no headroom.
  auto vmsFor = [&](double aCpu, double aMemory) {
    double vms = VmsToCarry(static_cast<double>(longRunning.cpu_) + aCpu,
                            static_cast<double>(longRunning.memory_) + aMemory,
                            aVmSize);
    return static_cast<int>(std::ceil(vms));
  };
  Resources present = aReport.used_;
  present -= longRunning;
  present += aReport.waiting_;
  double inTimeCpu = kHeadroom * static_cast<double>(aReport.inTime_.cpu_);
  double inTimeMemory =
    kHeadroom * static_cast<double>(aReport.inTime_.memory_);
  double cpu = kHeadroom * static_cast<double>(present.cpu_);
  double memory = kHeadroom * static_cast<double>(present.memory_);
  PoolDemand demand;
  demand.longRunning_ = std::max(vmsFor(0, 0), aReport.minVms_);
  demand.inTime_ =
    std::max(demand.longRunning_, vmsFor(inTimeCpu, inTimeMemory));
  demand.present_ = std::max(demand.inTime_, vmsFor(cpu, memory));
  // Headroom on expected arrivals would not make them more certain.
  demand.expected_ =
    std::max(demand.present_,
             vmsFor(std::max(cpu, aReport.arrivingCpu_), memory) + kReserveVms);
  return demand;
}

/// Counts the VMs that serve a pool or are about to; with a label, only those
/// that carry it. VMs that are being emptied or are in maintenance don't count,
/// as they take no work for seconds.
int PoolPlanner::CountServing(std::string_view aPool,
                              std::string_view aLabel) const
{
  int count = 0;
  for (const auto& [name, vm] : vms_) {
    if (!vm.HasLabel(aLabel)) {
      continue;
    }
    auto plan = plans_.find(name);
    if (plan != plans_.end()) {
      bool arrives =
        plan->second.intent_ == Intent::Move && plan->second.pool_ == aPool;
      count += arrives ? 1 : 0;
    } else if (vm.pool_ == aPool &&
               (vm.phase_ == VmPhase::Up || vm.phase_ == VmPhase::Moving)) {
      ++count;
    }
  }
  return count;
}

/// Returns true if nothing is planned for a VM and it accepts orders.
bool PoolPlanner::IsAvailable(const PoolVm& aVm) const
{
  auto moved = movedTo_.find(aVm.vm_);
  bool arrived = moved != movedTo_.end() && IsSpare(aVm.pool_) &&
                 clock_.Now() - moved->second.second >= kMoveDuration;
  auto wait = planAfter_.find(aVm.vm_);
  return (aVm.phase_ == VmPhase::Up || arrived) && plans_.count(aVm.vm_) == 0 &&
         (wait == planAfter_.end() || wait->second <= clock_.Now());
}

std::vector<PoolOrder> PoolPlanner::Decide()
{
  std::vector<PoolOrder> orders;
  DropStalePlans();
  PlanWaves(orders);
  PlanMoves();
  OrderEmptied(orders);
  return orders;
}

/// Drops plans without an order, so that their VMs take work again: moves whose
/// VM is not empty in time, and maintenance of VMs with a scarce label.
void PoolPlanner::DropStalePlans()
{
  Millis now = clock_.Now();
  std::erase_if(plans_, [&](const auto& aEntry) {
    const auto& [name, plan] = aEntry;
    if (plan.ordered_) {
      return false;
    }
    Millis age = now - plan.since_;
    if (plan.intent_ == Intent::Move) {
      return age > plan.timeout_;
    }
    const PoolVm* vm = FindVm(name);
    bool isScarce = vm != nullptr && LargestDeficit(*vm) > 0;
    if (!isScarce || age <= kScarceVmTimeout) {
      return false;
    }
    SuspendPlanning(name, kScarceVmTimeout);
    LogDecision("vm-maintain-put-off",
                { { "vm", name },
                  { "wave", std::to_string(plan.wave_) },
                  { "pool", vm->pool_ },
                  { "labels", DeficitText(vm->pool_) } });
    return true;
  });
}

void PoolPlanner::PlanMoves()
{
  if (vms_.empty() || spare_.empty()) {
    return;
  }
  std::vector<PoolBalance> pools = BalancePools();
  for (auto lacking : { &PoolBalance::dueNow_, &PoolBalance::due_ }) {
    for (PoolBalance& taker : pools) {
      taker.Receive(
        PlanTransfer({ spare_, taker.service_, taker.*lacking, {} }));
    }
  }
  for (PoolBalance& giver : pools) {
    DropUnneededMoves(giver);
    PlanSurplusMoves(giver, pools);
  }
  PlanRebalancing(pools);
}

/// Compares the VMs of each pool with what it needs, and with its part of the
/// fleet. Pools without a fresh report are left out.
std::vector<PoolPlanner::PoolBalance> PoolPlanner::BalancePools()
{
  std::vector<std::string> reporting;
  for (const std::string& service : services_) {
    if (const Report* report = FreshReport(service)) {
      labelDeficits_[service] = LabelDeficits(report->content_);
      reporting.push_back(service);
    }
  }
  PlanLabelMoves(reporting);
  std::vector<PoolBalance> pools;
  std::vector<PoolDemand> demands;
  int vms = CountServing(spare_);
  for (const std::string& service : reporting) {
    demands.push_back(DemandOf(reports_.at(service).content_, VmSize(service)));
    pools.push_back({ service, CountServing(service) });
    vms += pools.back().serving_;
  }
  std::vector<int> parts = DivideFleet(demands, vms);
  for (std::size_t i = 0; i < pools.size(); ++i) {
    PoolBalance& pool = pools[i];
    pool.needed_ = demands[i].expected_ - pool.serving_;
    pool.due_ = parts[i] - pool.serving_;
    pool.dueNow_ = std::min(parts[i], demands[i].present_) - pool.serving_;
    LogPool(pool);
  }
  return pools;
}

/// Drops moves to a pool that no longer needs all VMs which are being emptied
/// for it, those first that are expected to take longest.
void PoolPlanner::DropUnneededMoves(PoolBalance& aTaker)
{
  std::vector<std::pair<Millis, std::string>> droppable;
  for (const auto& [name, plan] : plans_) {
    if (plan.intent_ == Intent::Move && plan.pool_ == aTaker.service_ &&
        !plan.ordered_ && !plan.isForLabel_) {
      const TargetUse* use = FindUse(vms_.at(name));
      droppable.emplace_back(use == nullptr ? Millis(0) : use->emptyIn_, name);
    }
  }
  std::sort(droppable.rbegin(), droppable.rend());
  for (const auto& [emptyIn, name] : droppable) {
    if (aTaker.needed_ >= 0) {
      return;
    }
    plans_.erase(name);
    aTaker.Receive(-1);
  }
}

/// Gives VMs that a pool does not need to pools that lack some, and to the
/// spare pool what nobody has asked for in kSurplusDelay.
void PoolPlanner::PlanSurplusMoves(PoolBalance& aGiver,
                                   std::vector<PoolBalance>& aPools)
{
  bool isOld = HasLasted(
    surplusSince_, aGiver.service_, aGiver.needed_ < 0, kSurplusDelay);
  for (PoolBalance& taker : aPools) {
    int most = std::min(taker.due_, -aGiver.needed_);
    int moved = PlanTransfer({ aGiver.service_, taker.service_, most, {} });
    taker.Receive(moved);
    aGiver.Receive(-moved);
  }
  if (isOld) {
    PlanTransfer({ aGiver.service_, spare_, -aGiver.needed_, {} });
  }
}

/// Moves VMs that still have work from pools with more than their part of the
/// fleet to pools that have lacked VMs for present work for a while. Expected
/// work is no reason for this, as it varies from moment to moment and a move
/// costs its VM seconds.
void PoolPlanner::PlanRebalancing(std::vector<PoolBalance>& aPools)
{
  for (PoolBalance& pool : aPools) {
    pool.isShort_ =
      HasLasted(shortSince_, pool.service_, pool.dueNow_ > 0, kImbalanceDelay);
    pool.hasExcess_ =
      HasLasted(excessSince_, pool.service_, pool.due_ < 0, kImbalanceDelay);
  }
  for (PoolBalance& giver : aPools) {
    for (PoolBalance& taker : aPools) {
      if (!giver.hasExcess_ || !taker.isShort_) {
        continue;
      }
      int most = std::min(taker.dueNow_, -giver.due_);
      int moved = PlanTransfer({ giver.service_, taker.service_, most, {} });
      taker.Receive(moved);
      giver.Receive(-moved);
    }
  }
}

/// Notes in aSince, by service, whether a condition holds now, and returns true
/// if it has held for aTime.
bool PoolPlanner::HasLasted(std::map<std::string, Millis>& aSince,
                            const std::string& aService,
                            bool aHolds,
                            Millis aTime) const
{
  if (!aHolds) {
    aSince.erase(aService);
    return false;
  }
  Millis now = clock_.Now();
  return now - aSince.try_emplace(aService, now).first->second >= aTime;
}

/// Returns the size of the VMs in a pool, or of any VM if the pool is empty.
Resources PoolPlanner::VmSize(std::string_view aPool) const
{
  for (const auto& [name, vm] : vms_) {
    if (vm.pool_ == aPool) {
      return vm.capacity_;
    }
  }
  return vms_.begin()->second.capacity_;
}

/// Logs the inputs of the move decisions, rate-limited per pool.
void PoolPlanner::LogPool(const PoolBalance& aPool)
{
  Millis now = clock_.Now();
  const Report& report = reports_.at(aPool.service_);
  const PoolReport& content = report.content_;
  Millis& last = loggedAt_[content.service_];
  if (now - last < kLogInterval) {
    return;
  }
  last = now;
  LogStateChange(
    "pool",
    { { "service", content.service_ },
      { "vms", std::to_string(aPool.serving_) },
      { "missing", std::to_string(aPool.needed_) },
      { "part", std::to_string(aPool.serving_ + aPool.due_) },
      { "targets", std::to_string(content.targets_.size()) },
      { "used_cpu", std::to_string(content.used_.cpu_) },
      { "waiting_cpu", std::to_string(content.waiting_.cpu_) },
      { "waiting_mib", std::to_string(content.waiting_.memory_) },
      { "in_time_cpu", std::to_string(content.inTime_.cpu_) },
      { "arriving_cpu",
        std::to_string(static_cast<int>(content.arrivingCpu_)) },
      { "labels", DeficitText(content.service_) },
      { "spare", std::to_string(CountServing(spare_)) },
      { "age_ms", std::to_string((now - report.receivedAt_).count()) } });
}

/// Plans moves between two pools and returns how many. Picks the VMs that are
/// empty soonest and, of idle ones, those close to waiting work first.
int PoolPlanner::PlanTransfer(const Transfer& aTransfer)
{
  if (aTransfer.maxVms_ <= 0) {
    return 0;
  }
  std::vector<std::tuple<Millis, int, bool, std::string>> movable;
  for (const auto& [name, vm] : vms_) {
    if (vm.pool_ != aTransfer.from_ || !IsAvailable(vm) ||
        !vm.HasLabel(aTransfer.label_) ||
        impossible_.count({ name, aTransfer.to_ }) > 0) {
      continue;
    }
    const TargetUse* use = FindUse(vm);
    bool isFar = !IsNearWaitingWork(vm, aTransfer.to_);
    if (IsSpare(aTransfer.from_)) {
      movable.emplace_back(Millis(0), 0, isFar, name);
    } else if (use != nullptr && use->longRunning_ == 0 &&
               use->emptyIn_ <= kMaxDrainTime) {
      movable.emplace_back(use->emptyIn_, use->runs_, isFar, name);
    }
  }
  std::sort(movable.begin(), movable.end());
  int planned = 0;
  for (const auto& [emptyIn, runs, isFar, name] : movable) {
    if (planned == aTransfer.maxVms_) {
      break;
    }
    // Checked again for each VM, as each planned move uses up some of the
    // surplus of its labels.
    const PoolVm& vm = vms_.at(name);
    if (LargestDeficit(vm) >= 0) {
      continue;
    }
    for (auto& [label, deficit] : labelDeficits_[aTransfer.from_]) {
      deficit += vm.HasLabel(label) ? 1 : 0;
    }
    Plan plan{ Intent::Move, aTransfer.to_, 0, clock_.Now() };
    plan.timeout_ =
      std::max(kMoveTimeout,
               Millis(static_cast<std::int64_t>(
                 kDrainTolerance * static_cast<double>(emptyIn.count()))));
    plan.isForLabel_ = !aTransfer.label_.empty();
    plans_[name] = plan;
    ++planned;
  }
  return planned;
}

/// Returns true if a VM can be taken out of its pool. While the saved roster
/// names its target, a new leader of the service would wait for that target
/// until its leases must have run out.
bool PoolPlanner::IsEmptied(const PoolVm& aVm) const
{
  if (IsSpare(aVm.pool_)) {
    return true;
  }
  const TargetUse* use = FindUse(aVm);
  return use != nullptr && use->vacating_ && use->runs_ == 0 && !use->inRoster_;
}

void PoolPlanner::OrderEmptied(std::vector<PoolOrder>& aOrders)
{
  Millis now = clock_.Now();
  for (auto& [name, plan] : plans_) {
    const PoolVm* vm = FindVm(name);
    bool mayOrder = !plan.ordered_ && plan.orderAfter_ <= now && IsEmptied(*vm);
    if (!mayOrder) {
      continue;
    }
    if (plan.intent_ == Intent::Maintain) {
      Wave& wave = waves_.at(plan.wave_);
      if (CountInMaintenance(wave) >= wave.config_.maxUnavailable_) {
        continue;
      }
      aOrders.emplace_back(MaintainVm{ name, plan.wave_ });
    } else {
      aOrders.emplace_back(MoveVm{ name, plan.pool_ });
    }
    plan.ordered_ = true;
    LogDecision(
      plan.intent_ == Intent::Move ? "vm-move" : "vm-maintain",
      { { "vm", name },
        { "from", vm->pool_ },
        { "to", plan.pool_ },
        { "wave", std::to_string(plan.wave_) },
        { "planned_ms_ago", std::to_string((now - plan.since_).count()) } });
  }
}

void PoolPlanner::OnVmOrderEnd(const std::string& aVm, VmOrderEnd aEnd)
{
  auto found = plans_.find(aVm);
  if (found == plans_.end()) {
    return;
  }
  Plan plan = found->second;
  Millis now = clock_.Now();
  if (aEnd == VmOrderEnd::NoAnswer || aEnd == VmOrderEnd::Refused) {
    // Repeating the order is safe: the platform carries it out at most once.
    found->second.ordered_ = false;
    found->second.orderAfter_ = now + kRetryDelay;
    return;
  }
  plans_.erase(found);
  if (aEnd != VmOrderEnd::Done) {
    LogDecision(
      "vm-order-refused",
      { { "vm", aVm }, { "end", std::to_string(static_cast<int>(aEnd)) } });
    planAfter_[aVm] = now + kRetryDelay;
    if (aEnd == VmOrderEnd::Impossible) {
      impossible_.emplace(aVm, plan.pool_);
    }
    return;
  }
  auto vm = vms_.find(aVm);
  if (plan.intent_ == Intent::Move) {
    movedTo_[aVm] = { plan.pool_, now };
    if (vm != vms_.end()) {
      // The registry still lists the target for a while; it must get no
      // starts.
      departed_[vm->second.target_] = { vm->second.pool_, now };
    }
    if (vm != vms_.end()) {
      vm->second.pool_ = plan.pool_;
      vm->second.phase_ = VmPhase::Moving;
    }
    return;
  }
  auto wave = waves_.find(plan.wave_);
  if (wave != waves_.end()) {
    wave->second.startedVms_.insert(aVm);
    wave->second.startedAt_[aVm] = now;
    ++waveChanges_;
  }
  if (vm != vms_.end()) {
    departed_[vm->second.target_] = { vm->second.pool_, now };
    vm->second.phase_ = VmPhase::InMaintenance;
  }
}

std::vector<std::string> PoolPlanner::VacatingTargets(
  std::string_view aService) const
{
  std::vector<std::string> targets;
  for (const auto& [name, plan] : plans_) {
    const PoolVm* vm = FindVm(name);
    if (vm != nullptr && vm->pool_ == aService) {
      targets.push_back(vm->target_);
    }
  }
  for (const auto& [target, from] : departed_) {
    if (from.first == aService) {
      targets.push_back(target);
    }
  }
  return targets;
}

} // namespace coltsfootshed
