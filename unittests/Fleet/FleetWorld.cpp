#include "Fleet/FleetWorld.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr std::size_t kControllersPerDataCentre = 2;
static constexpr std::size_t kEntryNodesPerDataCentre = 2;

/// Pool p has five VMs, of which two may be unavailable, and pool q has two, of
/// which one may be. Each bit of aVariant switches one feature on: a1 moved to
/// pool q, wave w1, w1 paused, wave w2.
static Document MakeDocument(unsigned aVariant)
{
  bool moved = (aVariant & 1) != 0;
  bool wave = (aVariant & 2) != 0;
  bool paused = (aVariant & 4) != 0;
  bool second = (aVariant & 8) != 0;
  std::string text = "site = \"s\"\n[pools.p]\nmax_unavailable = 2\nvms = [";
  text += moved ? "" : "\"a1\", ";
  text += "\"a2\", \"a3\", \"b1\", \"b2\"]\n";
  text += "[pools.q]\nmax_unavailable = 1\nvms = [";
  text += moved ? "\"a1\", " : "";
  text += "\"a4\", \"b3\"]\n";
  if (wave) {
    text += "[waves.w1]\npaused = " + std::string(paused ? "true" : "false");
    text += "\n";
  }
  if (second) {
    text += "[waves.w2]\nracks = [\"r1\"]\n";
  }
  return ReadDocument(text).value();
}

FleetWorld::FleetWorld(FleetMutant aMutant)
  : mutant_(aMutant)
{
  documents_.push_back(MakeDocument(0));
  localVms_["a"] = {
    { "a1", "r1" }, { "a2", "r1" }, { "a3", "r2" }, { "a4", "r2" }
  };
  localVms_["b"] = { { "b1", "r1" }, { "b2", "r1" }, { "b3", "r2" } };
  for (const auto& [dataCentre, vms] : localVms_) {
    for (std::size_t i = 0; i < kControllersPerDataCentre; ++i) {
      ControllerNode node;
      node.dataCentre_ = dataCentre;
      node.controller_ = std::make_unique<FleetController>(dataCentre);
      controllers_.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < kEntryNodesPerDataCentre; ++i) {
      entryNodes_.push_back({ dataCentre, {}, {} });
    }
  }
}

void FleetWorld::Check(bool aHolds, const std::string& aText)
{
  if (!aHolds && violation_.empty()) {
    violation_ = aText;
  }
}

const Document& FleetWorld::DocumentOf(const ControllerNode& aNode) const
{
  return documents_[aNode.document_];
}

FleetState FleetWorld::RecordsOf(std::string_view aDataCentre) const
{
  auto found = values_.find(FleetKey(aDataCentre));
  bool none = found == values_.end() || found->second.revision_ == 0;
  return none ? FleetState() : FleetFromJson(found->second.text_).value();
}

PoolBudget FleetWorld::BudgetOf(std::string_view aPool) const
{
  auto found = values_.find(BudgetKey(aPool));
  bool none = found == values_.end() || found->second.revision_ == 0;
  return none ? PoolBudget() : BudgetFromJson(found->second.text_).value();
}

bool FleetWorld::IsFailed(std::string_view aVm) const
{
  return failed_.contains(aVm);
}

bool FleetWorld::IsQuiet(std::string_view aVm, std::uint64_t aFence) const
{
  if (mutant_ == FleetMutant::AlwaysQuiet) {
    return true;
  }
  return std::all_of(
    entryNodes_.begin(), entryNodes_.end(), [&](const EntryNode& aNode) {
      if (!localVms_.at(aNode.dataCentre_).contains(aVm)) {
        return true;
      }
      auto known = aNode.known_.vms_.find(aVm);
      auto running = aNode.requestsInFlight_.find(std::string(aVm));
      return known != aNode.known_.vms_.end() &&
             known->second.state_ != VmState::Serving &&
             known->second.fence_ == aFence &&
             (running == aNode.requestsInFlight_.end() || running->second == 0);
    });
}

bool FleetWorld::IsRebooted(std::string_view aVm,
                            std::string_view aRebootId) const
{
  return reboots_.contains({ std::string(aVm), std::string(aRebootId) });
}

bool FleetWorld::IsAnswering(std::string_view aVm) const
{
  return !failed_.contains(aVm) && !booting_.contains(aVm);
}

void FleetWorld::RunController(unsigned aPick)
{
  ControllerNode& node = controllers_[aPick % controllers_.size()];
  if (node.hasRead_) {
    return;
  }
  FleetAction action = node.controller_->Next(
    DocumentOf(node), *this, localVms_.at(node.dataCentre_));
  unsigned fault = aPick / 7 % 8;
  switch (action.kind_) {
    case FleetAction::Kind::Read: {
      auto found = values_.find(action.key_);
      node.read_ = found == values_.end() ? StoredText() : found->second;
      bool unread = mutant_ == FleetMutant::BudgetUnread &&
                    action.key_.starts_with("budget/");
      if (unread && node.read_.revision_ != 0) {
        node.read_.text_ = "{}";
      }
      node.hasRead_ = true;
      return;
    }
    case FleetAction::Kind::Write:
      if (fault == 0) {
        delayedWrites_.push_back({ action });
      } else if (fault != 1) {
        Write(action);
      }
      node.controller_->OnActionEnded();
      return;
    case FleetAction::Kind::Reboot:
      if (fault == 0) {
        delayedReboots_.push_back(action.reboot_);
      } else if (fault != 1) {
        Reboot(action.reboot_);
      }
      node.controller_->OnActionEnded();
      return;
    case FleetAction::Kind::Pause:
      node.controller_->OnActionEnded();
  }
}

void FleetWorld::DeliverRead(unsigned aPick)
{
  ControllerNode& node = controllers_[aPick % controllers_.size()];
  if (!node.hasRead_) {
    return;
  }
  node.hasRead_ = false;
  bool lost = aPick / 7 % 8 == 0;
  lost ? node.controller_->OnActionEnded()
       : node.controller_->OnRead(node.read_);
}

void FleetWorld::ApplyDelayed(unsigned aPick)
{
  if (!delayedWrites_.empty()) {
    auto chosen = delayedWrites_.begin() + aPick % delayedWrites_.size();
    FleetAction action = chosen->action_;
    delayedWrites_.erase(chosen);
    Write(action);
  }
  if (!delayedReboots_.empty()) {
    auto chosen = delayedReboots_.begin() + aPick % delayedReboots_.size();
    RebootVm command = *chosen;
    delayedReboots_.erase(chosen);
    Reboot(command);
  }
}

bool FleetWorld::Write(const FleetAction& aAction)
{
  StoredText& stored = values_[aAction.key_];
  bool matches = stored.revision_ == aAction.revision_;
  if (!matches && mutant_ != FleetMutant::NoCompareAndSwap) {
    return false;
  }
  std::string text = aAction.value_;
  if (aAction.key_.starts_with("budget/")) {
    PoolBudget before = BudgetOf(aAction.key_.substr(7));
    CheckBudgetWrite(aAction.key_, before, BudgetFromJson(text).value());
  } else if (mutant_ == FleetMutant::FenceIgnored) {
    FleetState records = FleetFromJson(text).value();
    for (auto& [vm, entry] : records.vms_) {
      entry.fence_ = 1;
    }
    text = records.ToJson();
  }
  stored = { ++revision_, text };
  CheckRecords();
  return true;
}

void FleetWorld::CheckBudgetWrite(const std::string& aKey,
                                  const PoolBudget& aBefore,
                                  const PoolBudget& aAfter)
{
  std::int64_t limit = aKey == "budget/p" ? 2 : 1;
  for (const auto& [vm, disruption] : aAfter.disruptions_) {
    bool isNew = !aBefore.disruptions_.contains(vm);
    Check(!isNew || !disruption.IsPlanned() || aAfter.Size() <= limit,
          aKey + " is over its limit through planned work on " + vm);
  }
}

/// Checks that each VM with a planned operation in progress has an entry in its
/// pool's budget, and that each VM is recorded by its own data centre alone.
void FleetWorld::CheckRecords()
{
  for (const auto& [dataCentre, vms] : localVms_) {
    for (const auto& [vm, entry] : RecordsOf(dataCentre).vms_) {
      Check(vms.contains(vm),
            vm + " is recorded by a data centre that it is not in");
      if (entry.state_ == VmState::Serving) {
        continue;
      }
      PoolBudget budget = BudgetOf(entry.pool_);
      auto reserved = budget.disruptions_.find(vm);
      Check(reserved != budget.disruptions_.end() &&
              reserved->second.IsPlanned() &&
              reserved->second.fence_ == entry.fence_,
            vm + " is out of service without a budget entry");
    }
  }
}

void FleetWorld::Reboot(const RebootVm& aCommand)
{
  bool isNew = reboots_.insert({ aCommand.vm_, aCommand.rebootId_ }).second;
  if (!isNew && mutant_ != FleetMutant::CommandRepeated) {
    return;
  }
  for (const EntryNode& node : entryNodes_) {
    auto running = node.requestsInFlight_.find(aCommand.vm_);
    Check(running == node.requestsInFlight_.end() || running->second == 0,
          aCommand.vm_ + " was rebooted with a request in flight");
  }
  booting_.insert(aCommand.vm_);
}

void FleetWorld::ReplaceController(unsigned aPick)
{
  ControllerNode& node = controllers_[aPick % controllers_.size()];
  node.controller_ = std::make_unique<FleetController>(node.dataCentre_);
  node.hasRead_ = false;
}

void FleetWorld::NewDocument(unsigned aPick)
{
  bool isRare = aPick % 16 == 0;
  if (isRare) {
    documents_.push_back(MakeDocument(aPick / 16 % 16));
  }
}

void FleetWorld::LearnDocument(unsigned aPick)
{
  ControllerNode& node = controllers_[aPick % controllers_.size()];
  std::size_t last = documents_.size() - 1;
  node.document_ = aPick % 8 < 6 ? last : std::min(node.document_ + 1, last);
}

void FleetWorld::LearnRecords(unsigned aPick)
{
  EntryNode& node = entryNodes_[aPick % entryNodes_.size()];
  node.known_ = RecordsOf(node.dataCentre_);
}

void FleetWorld::StartRequest(unsigned aPick)
{
  EntryNode& node = entryNodes_[aPick % entryNodes_.size()];
  const LocalVms& vms = localVms_.at(node.dataCentre_);
  auto vm = std::next(vms.begin(), aPick / 4 % vms.size());
  auto known = node.known_.vms_.find(vm->first);
  bool serving =
    known != node.known_.vms_.end() && known->second.state_ == VmState::Serving;
  if (serving && !booting_.contains(vm->first)) {
    ++node.requestsInFlight_[vm->first];
  }
}

void FleetWorld::EndRequest(unsigned aPick)
{
  EntryNode& node = entryNodes_[aPick % entryNodes_.size()];
  if (node.requestsInFlight_.empty()) {
    return;
  }
  auto chosen = std::next(node.requestsInFlight_.begin(),
                          aPick / 4 % node.requestsInFlight_.size());
  chosen->second = std::max(0, chosen->second - 1);
}

void FleetWorld::FailOrRepair(unsigned aPick)
{
  const LocalVms& vms = localVms_.at(aPick % 2 == 0 ? "a" : "b");
  const std::string& vm = std::next(vms.begin(), aPick / 2 % vms.size())->first;
  bool isRepair = aPick % 3 != 0;
  isRepair ? failed_.clear() : void(failed_.insert(vm));
}

void FleetWorld::FinishBoots(unsigned aPick)
{
  bool repeats = mutant_ == FleetMutant::CommandRepeated && aPick % 2 == 0;
  if (repeats && !reboots_.empty()) {
    auto repeated = std::next(reboots_.begin(), aPick % reboots_.size());
    Reboot({ repeated->first, repeated->second });
    return;
  }
  booting_.clear();
}

void FleetWorld::Settle()
{
  constexpr int kRounds = 4000;
  constexpr int kRoundsPerCheck = 40;
  // Picks the first controller, and neither loses nor delays the step.
  constexpr unsigned kNoFault = 24;
  if (!violation_.empty()) {
    return;
  }
  failed_.clear();
  for (ControllerNode& node : controllers_) {
    node.document_ = documents_.size() - 1;
  }
  for (int round = 0; round < kRounds; ++round) {
    if (round % kRoundsPerCheck == 0 && Unsettled().empty()) {
      return;
    }
    auto pick = static_cast<unsigned>(round);
    ApplyDelayed(0);
    RunController(kNoFault + pick % controllers_.size());
    DeliverRead(kNoFault + pick % controllers_.size());
    LearnRecords(pick);
    for (EntryNode& node : entryNodes_) {
      node.requestsInFlight_.clear();
    }
    booting_.clear();
  }
  Check(false, Unsettled());
}

std::string FleetWorld::Unsettled() const
{
  const Document& document = documents_.back();
  for (const auto& [dataCentre, vms] : localVms_) {
    FleetState records = RecordsOf(dataCentre);
    for (const auto& [vm, rack] : vms) {
      const FleetVm& entry = records.vms_[vm];
      if (!document.pools_.contains(entry.pool_)) {
        return vm + " has no record";
      }
      const auto& wanted = document.pools_.at(entry.pool_).vms_;
      if (entry.state_ != VmState::Serving) {
        return vm + " did not return to service";
      }
      if (std::find(wanted.begin(), wanted.end(), vm) == wanted.end()) {
        return vm + " is not in its pool";
      }
      for (const auto& [name, wave] : document.waves_) {
        bool isIn = wave.racks_.empty() || wave.racks_.front() == rack;
        if (!wave.paused_ && isIn && !entry.waves_.contains(name)) {
          return vm + " was left out of wave " + name;
        }
      }
    }
  }
  for (const char* pool : { "p", "q" }) {
    if (BudgetOf(pool).Size() > 0) {
      return "budget entries remain after all operations ended";
    }
  }
  return "";
}

} // namespace coltsfootshed
