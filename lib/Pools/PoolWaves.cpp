// Maintenance waves: which VM is taken down next, and the state of each wave.
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Pools/PoolPlanner.h"

#include "coltsfootshed/Support/JsonReader.h"

#include <algorithm>

namespace coltsfootshed {

/// Share of a pool's VMs that waves may empty at once.
static constexpr double kMaxWaveShare = 0.25;

void PoolPlanner::SetWave(const WaveConfig& aWave)
{
  auto [entry, isNew] = waves_.try_emplace(aWave.number_);
  entry->second.config_ = aWave;
  if (isNew) {
    entry->second.since_ = clock_.Now();
  }
}

void PoolPlanner::RecordMaintenanceOrder(const std::string& aVm,
                                         std::int64_t aWave)
{
  auto wave = waves_.find(aWave);
  if (wave != waves_.end()) {
    wave->second.startedAt_.try_emplace(aVm, clock_.Now());
  }
}

/// Counts the VMs of a wave that are in maintenance or ordered into it.
int PoolPlanner::CountInMaintenance(const Wave& aWave) const
{
  Millis now = clock_.Now();
  int down = 0;
  for (const std::string& vm : aWave.config_.vms_) {
    auto began = aWave.startedAt_.find(vm);
    const PoolVm* known = FindVm(vm);
    // The list may not yet show maintenance that has just begun.
    bool isDown =
      (began != aWave.startedAt_.end() && now - began->second < kVmListLag) ||
      (known != nullptr && known->phase_ == VmPhase::InMaintenance);
    down += isDown ? 1 : 0;
  }
  for (const auto& [vm, plan] : plans_) {
    bool ordered = plan.intent_ == Intent::Maintain && plan.ordered_ &&
                   plan.wave_ == aWave.config_.number_;
    down += ordered ? 1 : 0;
  }
  return down;
}

void PoolPlanner::PlanWaves(std::vector<PoolOrder>& aOrders)
{
  for (auto& [number, wave] : waves_) {
    PlanWave(wave, aOrders);
  }
}

void PoolPlanner::PlanWave(Wave& aWave, std::vector<PoolOrder>& aOrders)
{
  if (vms_.empty()) {
    return;
  }
  if (!aWave.publishedRunning_) {
    aWave.publishedRunning_ = true;
    aOrders.emplace_back(PublishWave{ aWave.config_.number_, false });
  }
  std::vector<const PoolVm*> due;
  bool open = false;
  for (const std::string& name : aWave.config_.vms_) {
    const PoolVm* vm = FindVm(name);
    if (vm == nullptr || aWave.startedVms_.count(name) > 0) {
      continue;
    }
    open = true;
    if (IsAvailable(*vm)) {
      due.push_back(vm);
    }
  }
  if (!open && !aWave.complete_) {
    aWave.complete_ = true;
    aOrders.emplace_back(PublishWave{ aWave.config_.number_, true });
  }
  // The VMs whose loss costs least come first: spare ones, then those with few
  // runs, where a long-running run weighs 100 others. Unknown use counts as
  // expensive.
  auto lossCost = [this](const PoolVm* aVm) {
    const TargetUse* use = FindUse(*aVm);
    int cost = use == nullptr ? 1000 : use->runs_ + 100 * use->longRunning_;
    return IsSpare(aVm->pool_) ? -1 : cost;
  };
  std::stable_sort(
    due.begin(), due.end(), [&](const auto* aLeft, const auto* aRight) {
      return lossCost(aLeft) < lossCost(aRight);
    });
  int planned = CountInMaintenance(aWave);
  std::map<std::string, int> emptied;
  for (const auto& [name, plan] : plans_) {
    if (plan.intent_ == Intent::Maintain) {
      planned += plan.ordered_ ? 0 : 1;
      ++emptied[FindVm(name)->pool_];
    }
  }
  for (const PoolVm* vm : due) {
    if (planned >= aWave.config_.maxUnavailable_) {
      return;
    }
    bool spare = IsSpare(vm->pool_);
    int maxEmptied =
      std::max(1,
               static_cast<int>(kMaxWaveShare *
                                static_cast<double>(CountServing(vm->pool_))));
    bool mayEmpty =
      spare || (FindUse(*vm) != nullptr && emptied[vm->pool_] < maxEmptied);
    if (!mayEmpty) {
      continue;
    }
    ++planned;
    ++emptied[vm->pool_];
    Plan plan;
    plan.intent_ = Intent::Maintain;
    plan.wave_ = aWave.config_.number_;
    plan.since_ = clock_.Now();
    plans_.emplace(vm->vm_, plan);
  }
}

void PoolPlanner::RepublishWave(std::int64_t aWave)
{
  auto wave = waves_.find(aWave);
  if (wave != waves_.end()) {
    wave->second.publishedRunning_ = false;
    wave->second.complete_ = false;
  }
}

std::string PoolPlanner::EncodeWaves() const
{
  Json json = Json::array();
  for (const auto& [number, wave] : waves_) {
    json.push_back({ number, wave.startedVms_ });
  }
  return json.dump();
}

void PoolPlanner::LoadWaves(std::string_view aText)
{
  auto json = ParseJson(aText, kOwnDocument, "read the state of waves");
  if (!json || !json->is_array()) {
    LogStateChange(
      "waves-unreadable",
      { { "error", json ? "not an array" : json.error().Text() } });
    return;
  }
  for (const Json& row : *json) {
    try {
      auto wave = waves_.find(IntegerOf(row.at(0), kAnyCount));
      if (wave != waves_.end()) {
        wave->second.startedVms_ = row.at(1).get<std::set<std::string>>();
      }
    } catch (const std::exception& failure) {
      LogStateChange("wave-state-unreadable", { { "error", failure.what() } });
    }
  }
}

} // namespace coltsfootshed
