#include "coltsfootshed/Node/PoolManager.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/FencedWrite.h"
#include "coltsfootshed/Support/JsonReader.h"

namespace coltsfootshed {

/// Time between planning steps; much shorter than the time in which demand
/// changes.
static constexpr Millis kTickInterval{ 100 };
/// Time between two requests to one leader if there are new orders for it.
static constexpr Millis kMinRequestInterval{ 30 };
/// Time between requests for the list of all VMs.
static constexpr Millis kListInterval{ 2000 };
/// Longest time until the next list request after an order.
static constexpr Millis kListDelayAfterOrder{ 500 };
static constexpr Millis kListRetryDelay{ 1000 };
/// Time between requests for the list while a leader waits for targets.
static constexpr Millis kListIntervalAtTakeOver{ 500 };
static constexpr Millis kSaveRetryDelay{ 500 };
/// Longest time that an order is in flight; the timeout of the VM service's
/// client.
static constexpr Millis kOrderTimeout{ 2000 };
/// Number of fencing tokens for the orders of one manager. Tokens rise with
/// each order and from one manager to the next.
static constexpr std::uint64_t kOrdersPerFence = 1 << 16;

PoolManager::PoolManager(Dependencies aDependencies,
                         std::string aNode,
                         Fence aFence,
                         Millis aHolderLease)
  : dependencies_(aDependencies)
  , node_(std::move(aNode))
  , fence_(aFence)
  , holderLease_(aHolderLease)
  , planner_(dependencies_.clock_)
  , vmPools_(dependencies_.clock_)
  , caps_(dependencies_.clock_,
          dependencies_.store_,
          fence_,
          [this](const std::string& aService) { TellSoon(aService); })
  , tickTimer_(dependencies_.base_, [this] { Tick(); })
{
  tickTimer_.Start(kTickInterval);
}

void PoolManager::SetConfig(const std::shared_ptr<const JobsConfig>& aConfig)
{
  config_ = aConfig;
  if (config_ != nullptr) {
    planner_.SetServices(config_->services_);
    caps_.SetConfig(*config_);
  }
}

void PoolManager::SetWave(const WaveConfig& aWave)
{
  planner_.SetWave(aWave);
  // The saved state is read again, for what an earlier manager did for this
  // wave.
  loaded_ = false;
}

void PoolManager::Load()
{
  if (storeCallInFlight_) {
    return;
  }
  storeCallInFlight_ = true;
  dependencies_.store_.Get(
    keys::PoolManagerState(),
    guard_([this](const Result<std::optional<StoreItem>>& aItem) {
      storeCallInFlight_ = false;
      if (!aItem) {
        return; // the next tick retries
      }
      loaded_ = true;
      if (aItem->has_value()) {
        savedRevision_ = (*aItem)->revision_;
        LoadSaved((*aItem)->value_);
      }
    }));
}

/// Loads which maintenance earlier managers began, and for which VMs they may
/// have given orders recently. Those VMs get no orders for some time, as two
/// managers must not alternate in ordering a VM.
void PoolManager::LoadSaved(const std::string& aText)
{
  using Orders = std::map<std::string, LastOrder>;
  auto read = [this](const Json& aJson) {
    Orders orders;
    for (const auto& [vm, row] : aJson.at("ordered").items()) {
      orders[vm] = { row.at(0),
                     IntegerOf(row.at(1), kAnyCount),
                     dependencies_.clock_.Now() };
      // Earlier versions leave out the pools of moves.
      auto pools = row.size() > 2 ? row.at(2).get<std::set<std::string>>()
                                  : std::set<std::string>{ "" };
      for (const std::string& pool : pools) {
        vmPools_.NoteMove(vm, pool);
      }
    }
    planner_.LoadWaves(aJson.at("waves").get<std::string>());
    return orders;
  };
  auto orders =
    ReadJson<Orders>(aText, kOwnDocument, "read the state of pools", "", read);
  if (!orders) {
    LogStateChange("pools-unreadable", { { "error", orders.error().Text() } });
    return;
  }
  for (auto& [vm, order] : *orders) {
    planner_.RecordMaintenanceOrder(vm, order.wave_);
    if (order.holder_ != node_) {
      planner_.SuspendPlanning(vm, holderLease_);
    }
    lastOrders_[vm] = std::move(order);
  }
}

void PoolManager::Tick()
{
  tickTimer_.Start(kTickInterval);
  if (config_ == nullptr || fencedOff_) {
    return;
  }
  if (!loaded_) {
    Load();
    return;
  }
  Millis now = dependencies_.clock_.Now();
  if (!listInFlight_ && now >= nextListAt_) {
    ListVms();
  }
  // If a report of the last round is still missing, its leader is slow or
  // unreachable, and planning must not wait for it.
  bool reportsOverdue = !pendingReports_.empty();
  RequestReports();
  if (reportsOverdue) {
    caps_.Step();
    Decide();
  }
  bool changed = planner_.WaveChanges() != savedChanges_;
  if (changed && !storeCallInFlight_ && now >= nextSaveAt_) {
    Save({});
  }
}

void PoolManager::Decide()
{
  if (!loaded_ || fencedOff_ || storeCallInFlight_) {
    return;
  }
  std::vector<PoolOrder> vmOrders;
  for (PoolOrder& order : planner_.Decide()) {
    if (const auto* publish = std::get_if<PublishWave>(&order)) {
      WriteWaveStatus(*publish);
    } else {
      vmOrders.push_back(std::move(order));
    }
  }
  if (!vmOrders.empty()) {
    Save(std::move(vmOrders));
  }
}

void PoolManager::ListVms()
{
  listInFlight_ = true;
  lastListAt_ = dependencies_.clock_.Now();
  dependencies_.vms_.List(guard_(
    [this, sentAt = lastListAt_](const Result<std::vector<PoolVm>>& aVms) {
      listInFlight_ = false;
      if (!aVms) {
        LogStateChange("vms-not-listed", { { "error", aVms.error().Text() } });
        nextListAt_ = dependencies_.clock_.Now() + kListRetryDelay;
        return;
      }
      nextListAt_ = dependencies_.clock_.Now() + kListInterval;
      planner_.SetVms(*aVms);
      vmPools_.SetVms(*aVms, sentAt);
    }));
}

void PoolManager::RequestReports()
{
  for (const std::string& service : config_->ServedServices()) {
    RequestReport(service);
  }
}

/// Does nothing if the leader has not answered the last request yet.
void PoolManager::RequestReport(const std::string& aService)
{
  if (!pendingReports_.insert(aService).second) {
    return;
  }
  askedAt_[aService] = dependencies_.clock_.Now();
  PoolRequest request{ fence_,
                       planner_.VacatingTargets(aService),
                       GoneTargets(aService),
                       caps_.OrderFor(aService) };
  dependencies_.leaderRpc_.AskPool(
    aService,
    request,
    guard_([this, aService](const Result<PoolReport>& aReport) {
      OnReport(aService, aReport);
    }));
}

void PoolManager::OnReport(const std::string& aService,
                           const Result<PoolReport>& aReport)
{
  pendingReports_.erase(aService);
  unanswered_.erase(aService);
  if (aReport) {
    planner_.SetReport(*aReport);
    if (!aReport->unanswered_.empty()) {
      unanswered_[aService] = aReport->unanswered_;
      nextListAt_ =
        std::min(nextListAt_, lastListAt_ + kListIntervalAtTakeOver);
    }
    if (aReport->caps_) {
      caps_.SetReport(aService, *aReport->caps_);
    }
  }
  if (pendingReports_.empty()) {
    caps_.Step();
    Decide();
  }
}

std::vector<std::string> PoolManager::GoneTargets(
  const std::string& aService) const
{
  std::vector<std::string> gone;
  auto found = unanswered_.find(aService);
  if (found == unanswered_.end()) {
    return gone;
  }
  for (const RosterTarget& target : found->second) {
    if (vmPools_.HasLeft(target.vm_, aService)) {
      gone.push_back(target.target_);
    }
  }
  return gone;
}

void PoolManager::TellSoon(const std::string& aService)
{
  if (dependencies_.clock_.Now() - askedAt_[aService] >= kMinRequestInterval) {
    RequestReport(aService);
  }
}

/// Returns the VM of an order to move or maintain one.
static const std::string& VmOf(const PoolOrder& aOrder)
{
  const auto* move = std::get_if<MoveVm>(&aOrder);
  return move != nullptr ? move->vm_ : std::get<MaintainVm>(aOrder).vm_;
}

void PoolManager::Execute(const PoolOrder& aOrder)
{
  VmOrderFence fence{ node_, fence_ * kOrdersPerFence + ++orderCount_ };
  if (auto last = lastOrders_.find(VmOf(aOrder)); last != lastOrders_.end()) {
    last->second.at_ = dependencies_.clock_.Now();
  }
  if (const auto* move = std::get_if<MoveVm>(&aOrder)) {
    vmPools_.NoteMove(move->vm_, move->pool_);
    dependencies_.vms_.Move(
      move->vm_,
      move->pool_,
      fence,
      guard_([this, move = *move](VmOrderEnd aEnd) { OnMoveEnd(move, aEnd); }));
  } else if (const auto* maintain = std::get_if<MaintainVm>(&aOrder)) {
    dependencies_.vms_.Maintain(
      maintain->vm_,
      maintain->wave_,
      fence,
      guard_(
        [this, vm = maintain->vm_](VmOrderEnd aEnd) { OnOrderEnd(vm, aEnd); }));
  }
}

void PoolManager::WriteWaveStatus(const PublishWave& aWaveStatus)
{
  Transaction transaction = FencedTransaction(keys::kPoolsDuty, fence_);
  transaction.puts_.push_back(
    { dependencies_.format_.waveStatusPrefix_ +
        std::to_string(aWaveStatus.wave_),
      dependencies_.format_.writeWaveStatus_(aWaveStatus.complete_) });
  dependencies_.store_.Commit(
    transaction, guard_([this, aWaveStatus](const CommitResult& aResult) {
      LogDecision("wave-status",
                  { { "wave", std::to_string(aWaveStatus.wave_) },
                    { "complete", aWaveStatus.complete_ ? "1" : "0" },
                    { "reason", aResult.reason_ } });
      if (aResult.end_ != CommitEnd::Committed) {
        planner_.RepublishWave(aWaveStatus.wave_);
      }
    }));
}

void PoolManager::OnMoveEnd(const MoveVm& aMove, VmOrderEnd aEnd)
{
  if (aEnd == VmOrderEnd::Done) {
    vmPools_.ConfirmMove(aMove.vm_, aMove.pool_);
  } else {
    vmPools_.NoteMove(aMove.vm_, aMove.pool_);
  }
  OnOrderEnd(aMove.vm_, aEnd);
}

void PoolManager::OnOrderEnd(const std::string& aVm, VmOrderEnd aEnd)
{
  if (aEnd == VmOrderEnd::FenceTooLow) {
    fencedOff_ = true;
    LogStateChange("pools-fenced-off",
                   { { "vm", aVm }, { "fence", std::to_string(fence_) } });
    return;
  }
  planner_.OnVmOrderEnd(aVm, aEnd);
  nextListAt_ =
    std::min(nextListAt_, dependencies_.clock_.Now() + kListDelayAfterOrder);
}

/// Saves which maintenance was begun and which VMs get orders, and sends the
/// orders once that is durable.
void PoolManager::Save(std::vector<PoolOrder> aOrders)
{
  storeCallInFlight_ = true;
  Millis now = dependencies_.clock_.Now();
  std::erase_if(lastOrders_, [&](const auto& aEntry) {
    return now - aEntry.second.at_ > holderLease_ + kOrderTimeout;
  });
  for (const PoolOrder& order : aOrders) {
    if (const auto* move = std::get_if<MoveVm>(&order)) {
      vmPools_.NoteMove(move->vm_, move->pool_);
    }
    const auto* maintain = std::get_if<MaintainVm>(&order);
    lastOrders_[VmOf(order)] = { node_,
                                 maintain == nullptr ? 0 : maintain->wave_,
                                 now };
  }
  Json ordered = Json::object();
  for (const auto& [vm, order] : lastOrders_) {
    ordered[vm] = { order.holder_, order.wave_, vmPools_.RecentMoves(vm) };
  }
  Json saved = { { "waves", planner_.EncodeWaves() }, { "ordered", ordered } };
  Transaction transaction = FencedTransaction(keys::kPoolsDuty, fence_);
  transaction.conditions_.push_back(
    { keys::PoolManagerState(), savedRevision_ });
  transaction.puts_.push_back({ keys::PoolManagerState(), saved.dump() });
  dependencies_.store_.Commit(
    transaction,
    guard_(
      [this, changes = planner_.WaveChanges(), orders = std::move(aOrders)](
        const CommitResult& aResult) { OnSaved(aResult, changes, orders); }));
}

void PoolManager::OnSaved(const CommitResult& aResult,
                          std::uint64_t aChanges,
                          const std::vector<PoolOrder>& aOrders)
{
  storeCallInFlight_ = false;
  nextSaveAt_ = dependencies_.clock_.Now() + kSaveRetryDelay;
  bool committed = aResult.end_ == CommitEnd::Committed;
  savedRevision_ =
    RevisionAfter(aResult, keys::PoolManagerState(), savedRevision_);
  if (committed) {
    savedChanges_ = aChanges;
  } else {
    LogStateChange("pools-not-saved",
                   { { "orders", std::to_string(aOrders.size()) },
                     { "reason", aResult.reason_ } });
  }
  for (const PoolOrder& order : aOrders) {
    if (committed) {
      Execute(order);
    } else {
      planner_.OnVmOrderEnd(VmOf(order), VmOrderEnd::Refused);
    }
  }
}

} // namespace coltsfootshed
