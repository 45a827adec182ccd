#include "coltsfootshed/Fleet/FleetTask.h"

#include "coltsfootshed/Support/Digest.h"

#include <ctime>
#include <event2/event.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace coltsfootshed {

/// Longest time that one watch on the configuration head lasts.
static constexpr Millis kWatchTimeout{ 10000 };
/// Mean period at which a node that does not watch the head still reads it, in
/// case its peers do not pass a new version on; jittered by half either way.
static constexpr Millis kFallbackReadPeriod{ 30000 };
/// Period of reads of the VM list, and of the head while none is stored.
static constexpr Millis kPollPeriod{ 1000 };
static constexpr Millis kFirstBackoff{ 200 };
static constexpr Millis kMaxBackoff{ 10000 };

FleetTask::FleetTask(const Settings& aSettings,
                     std::string aToken,
                     const Clock& aClock,
                     Mailboxes& aMailboxes)
  : settings_(aSettings)
  , clock_(aClock)
  , mailboxes_(aMailboxes)
  , base_(event_base_new())
  , random_(std::random_device{}())
  , peers_(aClock, { aSettings.node_, aSettings.dataCentre_, aSettings.peers_ })
  , platform_(
      std::make_unique<PlatformClient>(base_, aClock, aSettings.platform_))
  , fetch_(std::make_unique<ConfigFetch>(*platform_))
  , headBackoff_(kFirstBackoff, kMaxBackoff, random_())
  , vmBackoff_(kFirstBackoff, kMaxBackoff, random_())
  , headTimer_(std::make_unique<Timer>(base_, [this] { ReadHead(); }))
  , vmTimer_(std::make_unique<Timer>(base_, [this] { ReadVms(); }))
  , mail_(std::make_unique<MailboxEvent<FleetMessage>>(
      base_,
      aMailboxes.fleet_,
      [this](const FleetMessage& aMessage) {
        std::visit([this](const auto& aItem) { Handle(aItem); }, aMessage);
      }))
  , submissionCleanup_(
      std::make_unique<Timer>(base_, [this] { endedSubmissions_.clear(); }))
{
  controller_ = std::make_unique<FleetControllerRunner>(
    base_,
    clock_,
    *platform_,
    NodeAddress{ settings_.node_, settings_.dataCentre_, settings_.peers_ },
    peers_,
    vms_,
    [this](std::uint64_t aRevision, const std::string& aRecords) {
      AdoptRecords(aRevision, aRecords);
    });
  AdminBackend& backend = *this;
  admin_ = std::make_unique<AdminApi>(base_, backend, std::move(aToken));
}

FleetTask::~FleetTask()
{
  admin_.reset();
  submissions_.clear();
  endedSubmissions_.clear();
  submissionCleanup_.reset();
  mail_.reset();
  vmTimer_.reset();
  headTimer_.reset();
  controller_.reset();
  fetch_.reset();
  platform_.reset();
  event_base_free(base_);
}

Result<void> FleetTask::Listen()
{
  return admin_->Listen(settings_.admin_);
}

void FleetTask::Run()
{
  headTimer_->Start(Millis(0));
  vmTimer_->Start(Millis(0));
  event_base_dispatch(base_);
}

void FleetTask::ReadHead()
{
  auto onValue = [this](const Result<StoredValue>& aValue) {
    OnHeadRead(aValue);
  };
  bool awaitsFirstAnswer = lastPlatformAnswer_ < Millis(0);
  // A watch that gets no answer fails only after its whole wait, so the first
  // call after a failure is a read.
  bool mayWait = !awaitsFirstAnswer && !headReadFailed_;
  if (mayWait && peers_.IsWatcher()) {
    platform_->Watch(kHeadKey, headRevision_, kWatchTimeout, onValue);
    return;
  }
  platform_->Get(kHeadKey, onValue);
}

void FleetTask::ScheduleHeadRead(bool aFailed)
{
  headReadFailed_ = aFailed;
  if (aFailed) {
    headTimer_->Start(headBackoff_.Next());
    return;
  }
  headBackoff_.Reset();
  if (peers_.IsWatcher()) {
    headTimer_->Start(Millis(0));
    return;
  }
  std::uniform_int_distribution<std::int64_t> jitter(
    0, kFallbackReadPeriod.count());
  headTimer_->Start(kFallbackReadPeriod / 2 + Millis(jitter(random_)));
}

void FleetTask::OnHeadRead(const Result<StoredValue>& aValue)
{
  if (!aValue) {
    spdlog::warn("event=platform_read_failed error=\"{}\"",
                 aValue.error().Text());
    ScheduleHeadRead(true);
    return;
  }
  lastPlatformAnswer_ = clock_.Now();
  if (aValue->revision_ == 0) {
    headTimer_->Start(kPollPeriod);
    return;
  }
  auto head = HeadFromJson(aValue->value_);
  if (!head) {
    spdlog::error("event=config_head_unreadable error=\"{}\"",
                  head.error().Text());
    ScheduleHeadRead(true);
    return;
  }
  if (head->version_ <= activeConfig_.Version() || fetch_->IsRunning()) {
    headRevision_ = aValue->revision_;
    ScheduleHeadRead(false);
    return;
  }
  fetch_->Start(activeConfig_.MissingDigests(*head),
                [this, head = *head, revision = aValue->revision_](
                  const Result<Sections>& aSections) {
                  if (!aSections) {
                    spdlog::warn("event=config_fetch_failed error=\"{}\"",
                                 aSections.error().Text());
                    ScheduleHeadRead(true);
                    return;
                  }
                  headRevision_ = revision;
                  Adopt(head, *aSections);
                  ScheduleHeadRead(false);
                });
}

void FleetTask::Adopt(const Head& aHead, const Sections& aSections)
{
  Result<bool> adopted = activeConfig_.Adopt(aHead, aSections);
  if (!adopted) {
    spdlog::error("event=config_rejected version={} error=\"{}\"",
                  aHead.version_,
                  adopted.error().Text());
    return;
  }
  if (!*adopted) {
    return;
  }
  spdlog::info("event=config_in_force version={} author={}",
               aHead.version_,
               aHead.author_);
  mailboxes_.requests_.Post(
    DocumentInForce{ aHead.version_, activeConfig_.CurrentDocument() });
  mailboxes_.peers_.Post(
    ConfigSnapshot{ aHead, activeConfig_.CurrentSections() });
  controller_->SetDocument(activeConfig_.CurrentDocument());
}

void FleetTask::ReadVms()
{
  if (!peers_.IsWatcher()) {
    vmTimer_->Start(kPollPeriod);
    return;
  }
  platform_->ListVms(settings_.dataCentre_,
                     vmRevision_,
                     [this](const Result<VmListPage>& aPage) {
                       if (!aPage) {
                         vmTimer_->Start(vmBackoff_.Next());
                         return;
                       }
                       vmBackoff_.Reset();
                       lastPlatformAnswer_ = clock_.Now();
                       MergeVms(*aPage);
                       vmTimer_->Start(kPollPeriod);
                     });
}

void FleetTask::MergeVms(const VmListPage& aPage)
{
  if (aPage.revision_ <= vmRevision_) {
    return;
  }
  vmRevision_ = aPage.revision_;
  vms_.MergeList(aPage.vms_);
  VmListPage fullList;
  fullList.revision_ = vmRevision_;
  for (const auto& [name, record] : vms_.All()) {
    fullList.vms_.push_back(record);
  }
  mailboxes_.requests_.Post(VmsRead{ aPage.vms_ });
  mailboxes_.peers_.Post(VmListSnapshot{ std::move(fullList) });
}

void FleetTask::AdoptRecords(std::uint64_t aRevision,
                             const std::string& aRecords)
{
  if (aRevision <= recordsRevision_) {
    return;
  }
  auto fleet = FleetFromJson(aRecords);
  if (!fleet) {
    spdlog::error("event=records_unreadable error=\"{}\"",
                  fleet.error().Text());
    return;
  }
  recordsRevision_ = aRevision;
  records_ = std::move(*fleet);
  mailboxes_.requests_.Post(RecordsInForce{ records_ });
  mailboxes_.peers_.Post(FleetRecordsSnapshot{ aRevision, aRecords });
}

NodeStatus FleetTask::Status() const
{
  NodeStatus status;
  status.self_ = { settings_.node_, settings_.dataCentre_, settings_.peers_ };
  status.version_ = activeConfig_.Version();
  if (lastPlatformAnswer_ >= Millis(0)) {
    status.platformAge_ = clock_.Now() - lastPlatformAnswer_;
  }
  status.platformCalls_ = platform_->Calls();
  status.isWatcher_ = peers_.IsWatcher();
  status.isFleetController_ = controller_->HoldsLease();
  status.stopping_ = stopping_;
  return status;
}

void FleetTask::Submit(std::string_view aText,
                       std::uint64_t aFromVersion,
                       std::string_view aAuthor,
                       Submission::OnEnd aOnEnd)
{
  Head head;
  head.submission_ = settings_.node_ + "-" + std::to_string(random_());
  head.author_ = aAuthor;
  head.unixTime_ = std::time(nullptr);
  std::string id = head.submission_;
  auto onEnd =
    [this, id, onEnd = std::move(aOnEnd)](const SubmissionEnd& aEnd) {
      if (aEnd.result_ == SubmitResult::Accepted) {
        Adopt(aEnd.head_, aEnd.sections_);
      }
      onEnd(aEnd);
      endedSubmissions_.push_back(std::move(submissions_[id]));
      submissions_.erase(id);
      submissionCleanup_->Start(Millis(0));
    };
  auto submission = std::make_unique<Submission>(
    base_, *platform_, std::move(head), aText, aFromVersion, std::move(onEnd));
  Submission& started = *submission;
  submissions_.emplace(id, std::move(submission));
  started.Start();
}

void FleetTask::AskView(RequestsView aView,
                        std::function<void(std::string)> aOnText)
{
  std::uint64_t ticket = ++lastTicket_;
  pendingViews_.emplace(ticket, std::move(aOnText));
  mailboxes_.requests_.Post(ViewRequested{ ticket, aView });
}

void FleetTask::Handle(const PeerConfig& aMessage)
{
  Adopt(aMessage.head_, aMessage.sections_);
}

void FleetTask::Handle(const PeerVms& aMessage)
{
  MergeVms(aMessage.page_);
}

void FleetTask::Handle(const PeerRecords& aMessage)
{
  AdoptRecords(aMessage.revision_, aMessage.records_);
}

void FleetTask::Handle(const OwnQuietVms& aMessage)
{
  controller_->SetOwnQuietVms(aMessage.quiet_);
}

void FleetTask::Handle(const PeerReportArrived& aMessage)
{
  peers_.Merge(aMessage.report_);
}

void FleetTask::Handle(const ViewReady& aMessage)
{
  auto found = pendingViews_.find(aMessage.ticket_);
  if (found == pendingViews_.end()) {
    return;
  }
  auto onText = std::move(found->second);
  pendingViews_.erase(found);
  onText(aMessage.text_);
}

void FleetTask::Handle(StopRequested)
{
  if (stopping_) {
    spdlog::info("event=stop_asked_again state=already_stopping");
    return;
  }
  stopping_ = true;
  spdlog::info("event=stop_asked grace_ms={}", settings_.stopGrace_.count());
  mailboxes_.requests_.Post(RequestsStopping{});
  mailboxes_.peers_.Post(PeersStopping{});
}

void FleetTask::Handle(RequestsDrained)
{
  spdlog::info("event=drained");
  mailboxes_.peers_.Post(PeersQuit{});
  event_base_loopbreak(base_);
}

} // namespace coltsfootshed
