#include "coltsfootshed/Node/PoolManager.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/FencedWrite.h"

#include <nlohmann/json.hpp>

namespace coltsfootshed {

/// How often pools are looked at; short against the turns of demand.
static constexpr Millis kTick{ 100 };
/// Pause between lists of all VMs; sooner after an order.
static constexpr Millis kListPause{ 2000 };
static constexpr Millis kListAfterOrder{ 500 };
static constexpr Millis kListRetry{ 1000 };
static constexpr Millis kSaveRetry{ 500 };
/// Longest that an order is under way, from the client of the VM service.
static constexpr Millis kOrderLimit{ 2000 };
/// Tokens rise with each order, and from one manager to the next.
static constexpr std::uint64_t kOrdersPerFence = 1 << 16;

PoolManager::PoolManager(Dependencies aDependencies,
                         std::string aNode,
                         Fence aFence,
                         Millis aTurn)
  : with_(aDependencies)
  , node_(std::move(aNode))
  , fence_(aFence)
  , turn_(aTurn)
  , planner_(with_.clock_)
  , tickTimer_(with_.base_, [this] { Tick(); })
{
  tickTimer_.Start(kTick);
}

void PoolManager::SetConfig(const std::shared_ptr<const JobsConfig>& aConfig)
{
  config_ = aConfig;
  if (config_ != nullptr) {
    planner_.SetServices(config_->services_);
  }
}

void PoolManager::SetWave(const WaveConfig& aWave)
{
  planner_.SetWave(aWave);
  // What an earlier manager did for this wave is read again.
  loaded_ = false;
}

void PoolManager::Load()
{
  if (saving_) {
    return;
  }
  saving_ = true;
  with_.store_.Get(
    keys::Pools(),
    guard_([this](const Result<std::optional<StoreItem>>& aItem) {
      saving_ = false;
      if (!aItem) {
        return; // with the next tick
      }
      loaded_ = true;
      if (aItem->has_value()) {
        savedRevision_ = (*aItem)->revision_;
        LoadSaved((*aItem)->value_);
      }
    }));
}

/// What earlier managers began in waves, and which VMs they may have ordered
/// lately: those are left alone for a while, as VMs must not be ordered by
/// managers in turns.
void PoolManager::LoadSaved(const std::string& aText)
{
  auto saved = nlohmann::json::parse(aText, nullptr, false);
  if (!saved.is_object() ||
      !saved.value("waves", nlohmann::json()).is_string() ||
      !saved.contains("ordered")) {
    LogBelief("pools-unreadable", {});
    return;
  }
  planner_.LoadWaves(saved["waves"].get<std::string>());
  for (const auto& [vm, row] : saved["ordered"].items()) {
    LastOrder order{ row.at(0), row.at(1), with_.clock_.Now() };
    planner_.NoteMaintenance(vm, order.wave_);
    if (order.holder_ != node_) {
      planner_.LeaveAlone(vm, turn_);
    }
    orderedAt_[vm] = std::move(order);
  }
}

void PoolManager::Tick()
{
  tickTimer_.Start(kTick);
  if (config_ == nullptr || fencedOff_) {
    return;
  }
  if (!loaded_) {
    Load();
    return;
  }
  Millis now = with_.clock_.Now();
  if (!listing_ && now >= listAt_) {
    ListVms();
  }
  bool stuck = !gathering_.empty(); // a leader is slow or away
  Gather();
  if (stuck) {
    Decide();
  }
  bool changed = planner_.WaveChanges() != savedChanges_;
  if (changed && !saving_ && now >= saveAt_) {
    Save({});
  }
}

void PoolManager::Decide()
{
  if (!loaded_ || fencedOff_ || saving_) {
    return;
  }
  std::vector<PoolOrder> forVms;
  for (PoolOrder& order : planner_.Decide()) {
    if (const auto* show = std::get_if<ShowWave>(&order)) {
      Show(*show);
    } else {
      forVms.push_back(std::move(order));
    }
  }
  if (!forVms.empty()) {
    Save(std::move(forVms));
  }
}

void PoolManager::ListVms()
{
  listing_ = true;
  with_.vms_.List(guard_([this](const Result<std::vector<PoolVm>>& aVms) {
    listing_ = false;
    if (!aVms) {
      LogBelief("vms-not-listed", { { "error", aVms.error().Text() } });
      listAt_ = with_.clock_.Now() + kListRetry;
      return;
    }
    listAt_ = with_.clock_.Now() + kListPause;
    planner_.SetVms(*aVms);
  }));
}

void PoolManager::Gather()
{
  for (const ServiceConfig& service : config_->services_) {
    if (service.spare_ || !gathering_.insert(service.name_).second) {
      continue;
    }
    with_.links_.AskPool(
      service.name_,
      fence_,
      planner_.Vacating(service.name_),
      guard_([this, name = service.name_](const Result<PoolReport>& aReport) {
        gathering_.erase(name);
        if (aReport) {
          planner_.SetReport(*aReport);
        }
        if (gathering_.empty()) {
          Decide();
        }
      }));
  }
}

void PoolManager::Carry(const PoolOrder& aOrder)
{
  VmAuthority authority{ node_, fence_ * kOrdersPerFence + ++orders_ };
  if (const auto* move = std::get_if<MoveVm>(&aOrder)) {
    with_.vms_.Move(move->vm_,
                    move->pool_,
                    authority,
                    guard_([this, vm = move->vm_](VmOrderEnd aEnd) {
                      OnOrderEnd(vm, aEnd);
                    }));
  } else if (const auto* maintain = std::get_if<MaintainVm>(&aOrder)) {
    with_.vms_.Maintain(maintain->vm_,
                        maintain->wave_,
                        authority,
                        guard_([this, vm = maintain->vm_](VmOrderEnd aEnd) {
                          OnOrderEnd(vm, aEnd);
                        }));
  }
}

void PoolManager::Show(const ShowWave& aShow)
{
  Transaction transaction = FencedTransaction(keys::kPoolsDuty, fence_);
  transaction.puts_.push_back(
    { with_.format_.waveStatusPrefix_ + std::to_string(aShow.wave_),
      with_.format_.writeWaveStatus_(aShow.complete_) });
  with_.store_.Commit(
    transaction, guard_([this, aShow](const CommitResult& aResult) {
      LogDecision("wave-shown",
                  { { "wave", std::to_string(aShow.wave_) },
                    { "complete", aShow.complete_ ? "1" : "0" },
                    { "reason", aResult.reason_ } });
      if (aResult.end_ != CommitEnd::Committed) {
        planner_.ShowAgain(aShow.wave_);
      }
    }));
}

void PoolManager::OnOrderEnd(const std::string& aVm, VmOrderEnd aEnd)
{
  if (aEnd == VmOrderEnd::FenceTooLow) {
    fencedOff_ = true;
    LogBelief("pools-fenced-off",
              { { "vm", aVm }, { "fence", std::to_string(fence_) } });
    return;
  }
  planner_.OnVmOrder(aVm, aEnd);
  listAt_ = std::min(listAt_, with_.clock_.Now() + kListAfterOrder);
}

static const std::string& VmOf(const PoolOrder& aOrder)
{
  const auto* move = std::get_if<MoveVm>(&aOrder);
  return move != nullptr ? move->vm_ : std::get<MaintainVm>(aOrder).vm_;
}

/// Saves what was begun in waves and which VMs are ordered, and carries the
/// orders out once that is durable.
void PoolManager::Save(std::vector<PoolOrder> aOrders)
{
  saving_ = true;
  Millis now = with_.clock_.Now();
  std::erase_if(orderedAt_, [&](const auto& aEntry) {
    return now - aEntry.second.at_ > turn_ + kOrderLimit;
  });
  for (const PoolOrder& order : aOrders) {
    const auto* maintain = std::get_if<MaintainVm>(&order);
    orderedAt_[VmOf(order)] = { node_,
                                maintain == nullptr ? 0 : maintain->wave_,
                                now };
  }
  nlohmann::json ordered = nlohmann::json::object();
  for (const auto& [vm, order] : orderedAt_) {
    ordered[vm] = { order.holder_, order.wave_ };
  }
  nlohmann::json saved = { { "waves", planner_.EncodeWaves() },
                           { "ordered", ordered } };
  Transaction transaction = FencedTransaction(keys::kPoolsDuty, fence_);
  transaction.conditions_.push_back({ keys::Pools(), savedRevision_ });
  transaction.puts_.push_back({ keys::Pools(), saved.dump() });
  with_.store_.Commit(
    transaction,
    guard_(
      [this, changes = planner_.WaveChanges(), orders = std::move(aOrders)](
        const CommitResult& aResult) { OnSaved(aResult, changes, orders); }));
}

void PoolManager::OnSaved(const CommitResult& aResult,
                          std::uint64_t aChanges,
                          const std::vector<PoolOrder>& aOrders)
{
  saving_ = false;
  saveAt_ = with_.clock_.Now() + kSaveRetry;
  bool committed = aResult.end_ == CommitEnd::Committed;
  savedRevision_ = RevisionAfter(aResult, keys::Pools(), savedRevision_);
  if (committed) {
    savedChanges_ = aChanges;
  } else {
    LogBelief("pools-not-saved",
              { { "orders", std::to_string(aOrders.size()) },
                { "reason", aResult.reason_ } });
  }
  for (const PoolOrder& order : aOrders) {
    if (committed) {
      Carry(order);
    } else {
      planner_.OnVmOrder(VmOf(order), VmOrderEnd::Refused);
    }
  }
}

} // namespace coltsfootshed
