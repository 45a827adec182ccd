#include "coltsfootshed/Fleet/FleetControllerRunner.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace coltsfootshed {

static constexpr Millis kLeaseDuration{ 6000 };
static constexpr Millis kLeaseRenewPeriod{ 2000 };
/// An action begins only if more than this is left of the lease. Longer than
/// one platform call may take.
static constexpr Millis kLeaseMargin{ 2500 };
/// Longest pause before the controller reads and plans again while a planned
/// operation is in progress, and while there is none. Also the delay after a
/// write without an answer, and after a failed read.
static constexpr Millis kBusyPause{ 300 };
static constexpr Millis kIdlePause{ 4000 };
static constexpr Millis kProbeTimeout{ 1000 };
/// How long an answered probe counts as proof that the VM answers.
static constexpr Millis kProbeValidity{ 2000 };

FleetControllerRunner::FleetControllerRunner(event_base* aBase,
                                             const Clock& aClock,
                                             PlatformClient& aPlatform,
                                             NodeAddress aSelf,
                                             const PeerTable& aPeers,
                                             const VmTable& aVms,
                                             OnRecords aOnRecords)
  : clock_(aClock)
  , platform_(aPlatform)
  , self_(std::move(aSelf))
  , peers_(aPeers)
  , vms_(aVms)
  , onRecords_(std::move(aOnRecords))
  , startedAt_(aClock.Now())
  , random_(std::random_device{}())
  , controller_(self_.dataCentre_)
  , prober_(aBase, aClock, 0)
  , leaseTimer_(aBase, [this] { RenewLease(); })
  , stepTimer_(aBase, [this] { Step(); })
{
  leaseTimer_.Start(kLeaseRenewPeriod);
}

FleetControllerRunner::~FleetControllerRunner() = default;

void FleetControllerRunner::SetDocument(
  std::shared_ptr<const Document> aDocument)
{
  document_ = std::move(aDocument);
  stepTimer_.Start(Millis(0));
}

void FleetControllerRunner::SetOwnQuietVms(std::vector<QuietVm> aQuiet)
{
  ownQuietVms_ = std::move(aQuiet);
}

bool FleetControllerRunner::HoldsLease() const
{
  return clock_.Now() + kLeaseMargin < leaseExpiresAt_;
}

/// Returns true once this process knows its data centre's VMs and has run long
/// enough to have heard from every live peer. Before that, it does not know
/// which other entry VMs send requests to the VMs.
bool FleetControllerRunner::HasLearnedMembership() const
{
  return clock_.Now() - startedAt_ >= PeerTable::kReportLifetime &&
         !vms_.All().empty();
}

void FleetControllerRunner::RenewLease()
{
  leaseTimer_.Start(kLeaseRenewPeriod);
  if (!peers_.IsWatcher() || !HasLearnedMembership()) {
    return;
  }
  Millis askedAt = clock_.Now();
  platform_.HoldLease(
    "steward-" + self_.dataCentre_,
    self_.node_,
    kLeaseDuration,
    [this, askedAt](bool aHeld) {
      bool wasHeld = HoldsLease();
      leaseExpiresAt_ = aHeld ? askedAt + kLeaseDuration : Millis(0);
      if (aHeld && !wasHeld) {
        spdlog::info("event=steward_lease_held data_centre={}",
                     self_.dataCentre_);
        stepTimer_.Start(Millis(0));
      }
    });
}

LocalVms FleetControllerRunner::ListLocalVms() const
{
  LocalVms out;
  for (const auto& [name, record] : vms_.All()) {
    if (record.dataCentre_ == self_.dataCentre_) {
      out.emplace(name, record.rack_);
    }
  }
  return out;
}

void FleetControllerRunner::Step()
{
  if (actionPending_ || document_ == nullptr || !HoldsLease()) {
    return;
  }
  ProbeReturningVms();
  actionPending_ = true;
  RunAction(controller_.Next(*document_, *this, ListLocalVms()));
}

void FleetControllerRunner::RunAction(const FleetAction& aAction)
{
  switch (aAction.kind_) {
    case FleetAction::Kind::Read:
      platform_.Get(
        aAction.key_,
        [this, key = aAction.key_](const Result<StoredValue>& aValue) {
          OnRead(key, aValue);
        });
      return;
    case FleetAction::Kind::Write:
      platform_.Put(aAction.key_,
                    aAction.value_,
                    aAction.revision_,
                    [this](WriteResult aResult) {
                      actionPending_ = false;
                      controller_.OnActionEnded();
                      bool answered = aResult != WriteResult::NoAnswer;
                      stepTimer_.Start(answered ? Millis(0) : kBusyPause);
                    });
      return;
    case FleetAction::Kind::Reboot:
      spdlog::info("event=reboot_asked vm={} operation={}",
                   aAction.reboot_.vm_,
                   aAction.reboot_.rebootId_);
      platform_.Reboot(
        aAction.reboot_.vm_, aAction.reboot_.rebootId_, [this] { Pause(); });
      return;
    case FleetAction::Kind::Pause:
      Pause();
  }
}

void FleetControllerRunner::OnRead(const std::string& aKey,
                                   const Result<StoredValue>& aValue)
{
  actionPending_ = false;
  if (!aValue) {
    controller_.OnActionEnded();
    stepTimer_.Start(kIdlePause);
    return;
  }
  controller_.OnRead({ aValue->revision_, aValue->value_ });
  if (aKey == FleetKey(self_.dataCentre_) && aValue->revision_ > 0) {
    onRecords_(aValue->revision_, aValue->value_);
  }
  stepTimer_.Start(Millis(0));
}

/// Discards what was read, and schedules the next step after a random delay.
void FleetControllerRunner::Pause()
{
  const auto& vms = controller_.Fleet().vms_;
  bool isBusy = std::any_of(vms.begin(), vms.end(), [](const auto& aItem) {
    return aItem.second.state_ != VmState::Serving;
  });
  controller_.OnActionEnded();
  actionPending_ = false;
  Millis pause = isBusy ? kBusyPause : kIdlePause;
  std::uniform_int_distribution<std::int64_t> draw(pause.count() / 2,
                                                   pause.count());
  stepTimer_.Start(Millis(draw(random_)));
}

void FleetControllerRunner::ProbeReturningVms()
{
  for (const auto& [vm, entry] : controller_.Fleet().vms_) {
    const VmRecord* record = vms_.Find(vm);
    if (entry.state_ != VmState::Returning || record == nullptr) {
      continue;
    }
    std::string path = "/healthz";
    for (const auto& [name, service] : document_->services_) {
      path = service.pool_ == entry.pool_ ? service.probePath_ : path;
    }
    prober_.Call(record->endpoint_,
                 { "GET", path, {}, "" },
                 kProbeTimeout,
                 Reuse::Never,
                 [this, vm = vm](const CallResult& aResult) {
                   if (aResult.end_ == CallEnd::Answered) {
                     probeAnsweredAt_[vm] = clock_.Now();
                   }
                 });
  }
}

bool FleetControllerRunner::IsFailed(std::string_view aVm) const
{
  return vms_.Find(aVm) == nullptr || vms_.IsLeaving(aVm);
}

bool FleetControllerRunner::IsQuiet(std::string_view aVm,
                                    std::uint64_t aFence) const
{
  QuietVm wanted{ std::string(aVm), aFence };
  bool own = std::find(ownQuietVms_.begin(), ownQuietVms_.end(), wanted) !=
             ownQuietVms_.end();
  return own && peers_.IsQuietOnAllNodes(wanted);
}

bool FleetControllerRunner::IsRebooted(std::string_view aVm,
                                       std::string_view aRebootId) const
{
  const VmRecord* record = vms_.Find(aVm);
  return record != nullptr && record->lastRebootOperation_ == aRebootId;
}

bool FleetControllerRunner::IsAnswering(std::string_view aVm) const
{
  auto found = probeAnsweredAt_.find(aVm);
  return found != probeAnsweredAt_.end() &&
         clock_.Now() - found->second <= kProbeValidity;
}

} // namespace coltsfootshed
