#include "coltsfootshed/Fleet/StewardRunner.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace coltsfootshed {

static constexpr Millis kLeaseTime{ 6000 };
static constexpr Millis kLeasePeriod{ 2000 };
/// No action begins with less of the lease left than one call may take.
static constexpr Millis kLeaseMargin{ 2500 };
/// Rest while an operation is under way, and while there is none.
static constexpr Millis kBusyRest{ 300 };
static constexpr Millis kIdleRest{ 4000 };
static constexpr Millis kProbeLimit{ 1000 };
/// An answered probe is good for this long.
static constexpr Millis kAnswerGood{ 2000 };

StewardRunner::StewardRunner(event_base* aBase,
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
  , steward_(self_.dataCentre_)
  , prober_(aBase, aClock, 0)
  , leaseTimer_(aBase, [this] { RenewLease(); })
  , stepTimer_(aBase, [this] { Step(); })
{
  leaseTimer_.Start(kLeasePeriod);
}

StewardRunner::~StewardRunner() = default;

void StewardRunner::SetDocument(std::shared_ptr<const Document> aDocument)
{
  document_ = std::move(aDocument);
  stepTimer_.Start(Millis(0));
}

void StewardRunner::SetOwnQuiet(std::vector<QuietVm> aQuiet)
{
  ownQuiet_ = std::move(aQuiet);
}

bool StewardRunner::HoldsLease() const
{
  return clock_.Now() + kLeaseMargin < heldUntil_;
}

/// A process that has just started does not know yet who else sends work to
/// its data centre's VMs.
bool StewardRunner::KnowsItsDataCentre() const
{
  return clock_.Now() - startedAt_ >= PeerTable::kLease && !vms_.All().empty();
}

void StewardRunner::RenewLease()
{
  leaseTimer_.Start(kLeasePeriod);
  if (!peers_.IsWatcher() || !KnowsItsDataCentre()) {
    return;
  }
  Millis askedAt = clock_.Now();
  platform_.HoldLease("steward-" + self_.dataCentre_,
                      self_.node_,
                      kLeaseTime,
                      [this, askedAt](bool aHeld) {
                        bool heldBefore = HoldsLease();
                        heldUntil_ = aHeld ? askedAt + kLeaseTime : Millis(0);
                        if (aHeld && !heldBefore) {
                          spdlog::info(
                            "event=steward_lease_held data_centre={}",
                            self_.dataCentre_);
                          stepTimer_.Start(Millis(0));
                        }
                      });
}

LocalVms StewardRunner::ListLocalVms() const
{
  LocalVms out;
  for (const auto& [name, record] : vms_.All()) {
    if (record.dataCentre_ == self_.dataCentre_) {
      out.emplace(name, record.rack_);
    }
  }
  return out;
}

void StewardRunner::Step()
{
  if (isActing_ || document_ == nullptr || !HoldsLease()) {
    return;
  }
  ProbeReturning();
  isActing_ = true;
  CarryOut(steward_.Next(*document_, *this, ListLocalVms()));
}

void StewardRunner::CarryOut(const StewardAction& aAction)
{
  switch (aAction.kind_) {
    case StewardAction::Kind::Read:
      platform_.Get(
        aAction.key_,
        [this, key = aAction.key_](const Result<StoredValue>& aValue) {
          OnRead(key, aValue);
        });
      return;
    case StewardAction::Kind::Write:
      platform_.Put(aAction.key_,
                    aAction.value_,
                    aAction.revision_,
                    [this](WriteResult aResult) {
                      isActing_ = false;
                      steward_.OnEnded();
                      bool answered = aResult != WriteResult::NoAnswer;
                      stepTimer_.Start(answered ? Millis(0) : kBusyRest);
                    });
      return;
    case StewardAction::Kind::Reboot:
      spdlog::info("event=reboot_asked vm={} operation={}",
                   aAction.reboot_.vm_,
                   aAction.reboot_.operation_);
      platform_.Reboot(
        aAction.reboot_.vm_, aAction.reboot_.operation_, [this] { Rest(); });
      return;
    case StewardAction::Kind::Rest:
      Rest();
  }
}

void StewardRunner::OnRead(const std::string& aKey,
                           const Result<StoredValue>& aValue)
{
  isActing_ = false;
  if (!aValue) {
    steward_.OnEnded();
    stepTimer_.Start(kIdleRest);
    return;
  }
  steward_.OnRead({ aValue->revision_, aValue->value_ });
  if (aKey == FleetKey(self_.dataCentre_) && aValue->revision_ > 0) {
    onRecords_(aValue->revision_, aValue->value_);
  }
  stepTimer_.Start(Millis(0));
}

void StewardRunner::Rest()
{
  const auto& vms = steward_.Fleet().vms_;
  bool isBusy = std::any_of(vms.begin(), vms.end(), [](const auto& aItem) {
    return aItem.second.state_ != VmState::Serving;
  });
  steward_.OnEnded();
  isActing_ = false;
  Millis rest = isBusy ? kBusyRest : kIdleRest;
  std::uniform_int_distribution<std::int64_t> draw(rest.count() / 2,
                                                   rest.count());
  stepTimer_.Start(Millis(draw(random_)));
}

void StewardRunner::ProbeReturning()
{
  for (const auto& [vm, entry] : steward_.Fleet().vms_) {
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
                 kProbeLimit,
                 Reuse::Never,
                 [this, vm = vm](const CallResult& aResult) {
                   if (aResult.end_ == CallEnd::Answered) {
                     answeredAt_[vm] = clock_.Now();
                   }
                 });
  }
}

bool StewardRunner::IsFailed(std::string_view aVm) const
{
  return vms_.Find(aVm) == nullptr || vms_.IsLeaving(aVm);
}

bool StewardRunner::IsQuiet(std::string_view aVm, std::uint64_t aFence) const
{
  QuietVm wanted{ std::string(aVm), aFence };
  bool own =
    std::find(ownQuiet_.begin(), ownQuiet_.end(), wanted) != ownQuiet_.end();
  return own && peers_.AllQuiet(wanted);
}

bool StewardRunner::IsRebooted(std::string_view aVm,
                               std::string_view aOperation) const
{
  const VmRecord* record = vms_.Find(aVm);
  return record != nullptr && record->rebooted_ == aOperation;
}

bool StewardRunner::IsAnswering(std::string_view aVm) const
{
  auto found = answeredAt_.find(aVm);
  return found != answeredAt_.end() &&
         clock_.Now() - found->second <= kAnswerGood;
}

} // namespace coltsfootshed
