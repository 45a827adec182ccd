#include "coltsfootshed/Pools/PoolPlanner.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>
#include <cmath>

namespace coltsfootshed {

/// Older reports are not acted on: the service may have a new leader.
static constexpr Millis kReportAge{ 700 };
static constexpr int kReserve = 1; ///< VMs above the need
/// A pool keeps VMs that it does not need this long: demand may come back,
/// and a move costs about as much as a VM-second.
static constexpr Millis kKeepSurplus{ 1500 };
/// A plan to empty a VM is dropped after this long, for moves.
static constexpr Millis kVacateLimit{ 4000 };
/// A VM with a label that its pool lacks is kept from work this long at most
/// so as to be emptied for maintenance, and then serves for as long again.
static constexpr Millis kLackedVacateLimit{ 2000 };
/// Pause after an order was refused.
static constexpr Millis kRefusedPause{ 500 };
/// A target's registry entry is gone at the latest this long after its VM was
/// moved: three heartbeats and the registry's own delay.
static constexpr Millis kLeftTarget{ 10000 };
/// A VM that was moved into the spare pool can be moved again after this, as
/// the platform says; the list may say so later.
static constexpr Millis kMoveTime{ 1600 };
/// Pause between log lines on one pool.
static constexpr Millis kLogPause{ 1000 };

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
    // An order that the list does not show yet stands.
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
  std::erase_if(left_, [&](const auto& aEntry) {
    return now - aEntry.second.second > kLeftTarget;
  });
  std::erase_if(plans_,
                [this](const auto& aEntry) { return !FindVm(aEntry.first); });
}

void PoolPlanner::LeaveAlone(const std::string& aVm, Millis aTime)
{
  notBefore_[aVm] = clock_.Now() + aTime;
}

void PoolPlanner::SetReport(const PoolReport& aReport)
{
  reports_[aReport.service_] = { aReport, clock_.Now() };
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
  bool fresh =
    found != reports_.end() && clock_.Now() - found->second.at_ <= kReportAge;
  return fresh ? &found->second : nullptr;
}

const TargetUse* PoolPlanner::UseOf(const PoolVm& aVm) const
{
  const Report* report = FreshReport(aVm.pool_);
  if (report == nullptr) {
    return nullptr;
  }
  for (const TargetUse& use : report->content_.targets_) {
    if (use.target_ == aVm.target_) {
      return &use;
    }
  }
  return nullptr;
}

/// VMs of a size that some load fills.
double PoolPlanner::VmsFor(double aCpu,
                           double aMemory,
                           const Resources& aVmSize)
{
  return std::max(
    aCpu / static_cast<double>(std::max<std::int64_t>(1, aVmSize.cpu_)),
    aMemory / static_cast<double>(std::max<std::int64_t>(1, aVmSize.memory_)));
}

int PoolPlanner::Needed(const PoolReport& aReport, const Resources& aVmSize)
{
  // Lasting runs leave no room that new work could count on, and need none
  // above them. What is expected to arrive is not more certain for headroom.
  double present = static_cast<double>(
    aReport.used_.cpu_ - aReport.lasting_.cpu_ + aReport.waiting_.cpu_);
  double cpu = std::max(kHeadroom * present, aReport.arrivingCpu_);
  double memory =
    static_cast<double>(aReport.used_.memory_ - aReport.lasting_.memory_ +
                        aReport.waiting_.memory_);
  double vms =
    VmsFor(static_cast<double>(aReport.lasting_.cpu_) + cpu,
           static_cast<double>(aReport.lasting_.memory_) + kHeadroom * memory,
           aVmSize);
  return std::max(static_cast<int>(std::ceil(vms)) + kReserve,
                  aReport.leastVms_);
}

/// VMs that serve a pool or are about to, and carry a label if one is given.
/// What is emptied or down for maintenance serves nothing for seconds.
int PoolPlanner::Count(std::string_view aPool, std::string_view aLabel) const
{
  int count = 0;
  for (const auto& [name, vm] : vms_) {
    if (!vm.HasLabel(aLabel)) {
      continue;
    }
    auto plan = plans_.find(name);
    if (plan != plans_.end()) {
      bool comes =
        plan->second.intent_ == Intent::Move && plan->second.pool_ == aPool;
      count += comes ? 1 : 0;
    } else if (vm.pool_ == aPool &&
               (vm.phase_ == VmPhase::Up || vm.phase_ == VmPhase::Moving)) {
      ++count;
    }
  }
  return count;
}

/// True if nothing is planned for a VM and it can be ordered.
bool PoolPlanner::IsFree(const PoolVm& aVm) const
{
  auto moved = movedTo_.find(aVm.vm_);
  bool arrived = moved != movedTo_.end() && IsSpare(aVm.pool_) &&
                 clock_.Now() - moved->second.second >= kMoveTime;
  auto wait = notBefore_.find(aVm.vm_);
  return (aVm.phase_ == VmPhase::Up || arrived) && plans_.count(aVm.vm_) == 0 &&
         (wait == notBefore_.end() || wait->second <= clock_.Now());
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

/// A VM that is not empty after a while serves again.
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
      return age > kVacateLimit;
    }
    const PoolVm* vm = FindVm(name);
    bool isLacked = vm != nullptr && LackOn(*vm) > 0;
    if (!isLacked || age <= kLackedVacateLimit) {
      return false;
    }
    LeaveAlone(name, kLackedVacateLimit);
    LogDecision("vm-maintain-put-off",
                { { "vm", name },
                  { "wave", std::to_string(plan.wave_) },
                  { "pool", vm->pool_ },
                  { "labels", LacksText(vm->pool_) } });
    return true;
  });
}

void PoolPlanner::PlanMoves()
{
  if (vms_.empty() || spare_.empty()) {
    return;
  }
  Millis now = clock_.Now();
  std::map<std::string, int> missing; ///< by service; negative: surplus
  for (const std::string& service : services_) {
    const Report* report = FreshReport(service);
    if (report == nullptr) {
      continue;
    }
    byLabel_[service] = MissingByLabel(report->content_);
    TakeLabelled(service);
    missing[service] =
      Needed(report->content_, VmSize(service)) - Count(service);
    LogPool(*report, missing[service]);
  }
  for (auto& [service, count] : missing) {
    if (count > 0) {
      surplusSince_.erase(service);
      count -= PlanTake({ spare_, service, count, {} });
    }
  }
  for (auto& [service, count] : missing) {
    if (count >= 0) {
      surplusSince_.erase(service);
      continue;
    }
    // What another pool waits for goes there at once.
    for (auto& [taker, lacks] : missing) {
      if (lacks > 0 && count < 0) {
        int moved = PlanTake({ service, taker, std::min(lacks, -count), {} });
        lacks -= moved;
        count += moved;
      }
    }
    Millis since = surplusSince_.try_emplace(service, now).first->second;
    if (count < 0 && now - since >= kKeepSurplus) {
      PlanTake({ service, spare_, -count, {} });
    }
  }
}

/// The size of VMs in a pool, or of any VM if it has none.
Resources PoolPlanner::VmSize(std::string_view aPool) const
{
  for (const auto& [name, vm] : vms_) {
    if (vm.pool_ == aPool) {
      return vm.capacity_;
    }
  }
  return vms_.begin()->second.capacity_;
}

/// One line a second and pool: what moves are decided from.
void PoolPlanner::LogPool(const Report& aReport, int aMissing)
{
  Millis now = clock_.Now();
  const PoolReport& content = aReport.content_;
  Millis& last = loggedAt_[content.service_];
  if (now - last < kLogPause) {
    return;
  }
  last = now;
  LogBelief("pool",
            { { "service", content.service_ },
              { "vms", std::to_string(Count(content.service_)) },
              { "missing", std::to_string(aMissing) },
              { "targets", std::to_string(content.targets_.size()) },
              { "used_cpu", std::to_string(content.used_.cpu_) },
              { "waiting_cpu", std::to_string(content.waiting_.cpu_) },
              { "waiting_mib", std::to_string(content.waiting_.memory_) },
              { "arriving_cpu",
                std::to_string(static_cast<int>(content.arrivingCpu_)) },
              { "labels", LacksText(content.service_) },
              { "spare", std::to_string(Count(spare_)) },
              { "age_ms", std::to_string((now - aReport.at_).count()) } });
}

/// Plans moves between two pools, of the VMs that are emptied soonest, those
/// near waiting work first; returns how many.
int PoolPlanner::PlanTake(const Taking& aTaking)
{
  std::vector<std::tuple<int, bool, std::string>> movable;
  for (const auto& [name, vm] : vms_) {
    if (vm.pool_ != aTaking.from_ || !IsFree(vm) ||
        !vm.HasLabel(aTaking.label_) ||
        impossible_.count({ name, aTaking.to_ }) > 0) {
      continue;
    }
    const TargetUse* use = UseOf(vm);
    bool isFar = !IsWanted(vm, aTaking.to_);
    if (IsSpare(aTaking.from_)) {
      movable.emplace_back(0, isFar, name);
    } else if (use != nullptr && use->lasting_ == 0) {
      movable.emplace_back(use->runs_, isFar, name);
    }
  }
  std::sort(movable.begin(), movable.end());
  int planned = 0;
  for (const auto& [runs, isFar, name] : movable) {
    if (planned == aTaking.most_) {
      break;
    }
    // Asked for each anew: several may carry a label of which only some are to
    // spare.
    const PoolVm& vm = vms_.at(name);
    if (LackOn(vm) >= 0) {
      continue;
    }
    for (auto& [label, lacks] : byLabel_[aTaking.from_]) {
      lacks += vm.HasLabel(label) ? 1 : 0;
    }
    plans_[name] = Plan{ Intent::Move, aTaking.to_, 0, clock_.Now() };
    ++planned;
  }
  return planned;
}

bool PoolPlanner::IsEmptied(const PoolVm& aVm) const
{
  if (IsSpare(aVm.pool_)) {
    return true;
  }
  const TargetUse* use = UseOf(aVm);
  return use != nullptr && use->vacating_ && use->runs_ == 0;
}

void PoolPlanner::OrderEmptied(std::vector<PoolOrder>& aOrders)
{
  Millis now = clock_.Now();
  for (auto& [name, plan] : plans_) {
    const PoolVm* vm = FindVm(name);
    bool mayOrder = !plan.ordered_ && plan.orderAt_ <= now && IsEmptied(*vm);
    if (!mayOrder) {
      continue;
    }
    if (plan.intent_ == Intent::Maintain) {
      Wave& wave = waves_.at(plan.wave_);
      if (DownFor(wave) >= wave.config_.cap_) {
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

void PoolPlanner::OnVmOrder(const std::string& aVm, VmOrderEnd aEnd)
{
  auto found = plans_.find(aVm);
  if (found == plans_.end()) {
    return;
  }
  Plan plan = found->second;
  Millis now = clock_.Now();
  if (aEnd == VmOrderEnd::NoAnswer || aEnd == VmOrderEnd::Refused) {
    // The same order again: it is done at most once.
    found->second.ordered_ = false;
    found->second.orderAt_ = now + kRefusedPause;
    return;
  }
  plans_.erase(found);
  if (aEnd != VmOrderEnd::Done) {
    LogDecision(
      "vm-order-refused",
      { { "vm", aVm }, { "end", std::to_string(static_cast<int>(aEnd)) } });
    notBefore_[aVm] = now + kRefusedPause;
    if (aEnd == VmOrderEnd::Impossible) {
      impossible_.emplace(aVm, plan.pool_);
    }
    return;
  }
  auto vm = vms_.find(aVm);
  if (plan.intent_ == Intent::Move) {
    movedTo_[aVm] = { plan.pool_, now };
    if (vm != vms_.end()) {
      // Its registry entry outlives it; it must get no starts.
      left_[vm->second.target_] = { vm->second.pool_, now };
    }
    if (vm != vms_.end()) {
      vm->second.pool_ = plan.pool_;
      vm->second.phase_ = VmPhase::Moving;
    }
    return;
  }
  auto wave = waves_.find(plan.wave_);
  if (wave != waves_.end()) {
    wave->second.begun_.insert(aVm);
    wave->second.beganAt_[aVm] = now;
    ++waveChanges_;
  }
  if (vm != vms_.end()) {
    left_[vm->second.target_] = { vm->second.pool_, now };
    vm->second.phase_ = VmPhase::Maintained;
  }
}

std::vector<std::string> PoolPlanner::Vacating(std::string_view aService) const
{
  std::vector<std::string> targets;
  for (const auto& [name, plan] : plans_) {
    const PoolVm* vm = FindVm(name);
    if (vm != nullptr && vm->pool_ == aService) {
      targets.push_back(vm->target_);
    }
  }
  for (const auto& [target, from] : left_) {
    if (from.first == aService) {
      targets.push_back(target);
    }
  }
  return targets;
}

} // namespace coltsfootshed
