#include "coltsfootshed/Node/PoolManager.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"

namespace coltsfootshed {

/// How often pools are looked at; short against the turns of demand.
static constexpr Millis kTick{ 100 };
/// Pause between lists of all VMs; sooner after an order.
static constexpr Millis kListPause{ 2000 };
static constexpr Millis kListAfterOrder{ 500 };
static constexpr Millis kListRetry{ 1000 };
static constexpr Millis kSaveRetry{ 500 };
/// Tokens rise with each order, and from one manager to the next.
static constexpr std::uint64_t kOrdersPerFence = 1 << 16;

PoolManager::PoolManager(Dependencies aDependencies,
                         std::string aNode,
                         Fence aFence,
                         Millis aQuiet)
  : with_(aDependencies)
  , node_(std::move(aNode))
  , fence_(aFence)
  , quietUntil_(with_.clock_.Now() + aQuiet)
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
        planner_.LoadWaves((*aItem)->value_);
      } else {
        // No manager has given an order yet: none has claimed the VMs.
        quietUntil_ = with_.clock_.Now();
      }
    }));
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
  bool changed = !claimed_ || planner_.WaveChanges() != savedChanges_;
  if (changed && !saving_ && now >= saveAt_) {
    SaveWaves();
  }
}

void PoolManager::Decide()
{
  if (!claimed_ || fencedOff_ || with_.clock_.Now() < quietUntil_) {
    return;
  }
  for (const PoolOrder& order : planner_.Decide()) {
    Carry(order);
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
  } else if (const auto* show = std::get_if<ShowWave>(&aOrder)) {
    Transaction transaction;
    transaction.conditions_.push_back(
      { keys::Leader(keys::kPoolsDuty), fence_ });
    transaction.puts_.push_back(
      { with_.format_.waveStatusPrefix_ + std::to_string(show->wave_),
        with_.format_.writeWaveStatus_(show->complete_) });
    with_.store_.Commit(
      transaction, guard_([this, show = *show](const CommitResult& aResult) {
        LogDecision("wave-shown",
                    { { "wave", std::to_string(show.wave_) },
                      { "complete", show.complete_ ? "1" : "0" },
                      { "reason", aResult.reason_ } });
        if (aResult.end_ != CommitEnd::Committed) {
          planner_.ShowAgain(show.wave_);
        }
      }));
  }
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

void PoolManager::SaveWaves()
{
  saving_ = true;
  std::uint64_t changes = planner_.WaveChanges();
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Leader(keys::kPoolsDuty), fence_ });
  transaction.conditions_.push_back({ keys::Pools(), savedRevision_ });
  transaction.puts_.push_back({ keys::Pools(), planner_.EncodeWaves() });
  with_.store_.Commit(transaction,
                      guard_([this, changes](const CommitResult& aResult) {
                        saving_ = false;
                        saveAt_ = with_.clock_.Now() + kSaveRetry;
                        if (aResult.end_ == CommitEnd::Committed) {
                          savedRevision_ = aResult.revision_;
                          savedChanges_ = changes;
                          claimed_ = true;
                        }
                        for (const StoreItem& item : aResult.current_) {
                          if (item.key_ == keys::Pools()) {
                            savedRevision_ = item.revision_;
                          }
                        }
                      }));
}

} // namespace coltsfootshed
