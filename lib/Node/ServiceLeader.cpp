#include "coltsfootshed/Node/ServiceLeader.h"

#include "coltsfootshed/Node/JobsConfig.h"
#include "coltsfootshed/Node/PoolRequest.h"
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/FencedWrite.h"
#include "coltsfootshed/Support/JsonReader.h"

#include <algorithm>
#include <functional>

namespace coltsfootshed {

static constexpr Millis kLoadRetryDelay{ 100 };
/// Pause between watches for jobs and cancel marks. It may be long, as they are
/// also announced directly.
static constexpr Millis kWorkWatchPause{ 700 };
/// How old a count of waiting jobs may be.
static constexpr Millis kMaxCountAge{ 2000 };
/// Number of decisions over which lateness is smoothed.
static constexpr int kLatenessWindow = 16;
/// Most ended jobs that one transaction deletes. With three keys each and the
/// fence, it stays within Transaction::kMaxEntries.
static constexpr std::size_t kMaxDeletedJobs = 10;

/// Encodes the roster: the targets on which runs of the service may exist.
static std::string EncodeRoster(const std::vector<TargetInfo>& aTargets)
{
  Json rows = Json::array();
  for (const TargetInfo& target : aTargets) {
    rows.push_back({ target.id_, target.address_.Text(), target.vm_ });
  }
  return rows.dump();
}

static Result<std::vector<TargetInfo>> DecodeRoster(const std::string& aText,
                                                    const std::string& aService)
{
  using Targets = std::vector<TargetInfo>;
  auto read = [&](const Json& aJson) {
    Targets targets;
    for (const Json& row : aJson) {
      auto address = ParseEndpoint(row.at(1).get<std::string>());
      if (!address) {
        throw std::invalid_argument("a target has no valid address");
      }
      TargetInfo target;
      target.id_ = row.at(0);
      target.service_ = aService;
      target.address_ = *address;
      // Earlier versions leave out the VM.
      target.vm_ = row.size() > 2 ? row.at(2).get<std::string>() : "";
      targets.push_back(std::move(target));
    }
    return targets;
  };
  return ReadJson<Targets>(
    aText, kOwnDocument, "read the roster", aService, read);
}

static SchedulerSettings SettingsFor(const ServiceLeader::Options& aOptions)
{
  SchedulerSettings settings;
  settings.service_ = aOptions.service_;
  settings.fence_ = aOptions.fence_;
  settings.lease_ = aOptions.lease_;
  settings.longestLease_ = aOptions.longestLease_;
  settings.takeOverWait_ = aOptions.takeOverWait_;
  settings.longestStop_ = aOptions.longestStop_;
  settings.remoteDataSlowdown_ = aOptions.remoteDataSlowdown_;
  return settings;
}

ServiceLeader::ServiceLeader(Dependencies aDependencies,
                             Options aOptions,
                             std::function<void()> aOnStepDown)
  : dependencies_(std::move(aDependencies))
  , options_(std::move(aOptions))
  , onStepDown_(std::move(aOnStepDown))
  , scheduler_(dependencies_.clock_,
               dependencies_.wallClock_,
               SettingsFor(options_))
  , decisionTimer_(dependencies_.base_, [this] { Decide(); })
  , retryTimer_(dependencies_.base_,
                [this] { std::exchange(retryStep_, nullptr)(); })
  , deletionTimer_(dependencies_.base_, [this] { DeleteOldItems(); })
  , createdAt_(dependencies_.clock_.Now())
{
  LoadRoster();
  deletionTimer_.Start(options_.deletionInterval_);
}

ServiceLeader::~ServiceLeader() = default;

void ServiceLeader::Retry(std::function<void()> aStep)
{
  retryStep_ = std::move(aStep);
  retryTimer_.Start(kLoadRetryDelay);
}

void ServiceLeader::LoadRoster()
{
  dependencies_.store_.Get(
    keys::Roster(options_.service_),
    guard_([this](const Result<std::optional<StoreItem>>& aItem) {
      if (!aItem) {
        Retry([this] { LoadRoster(); });
        return;
      }
      if (aItem->has_value()) {
        rosterRevision_ = (*aItem)->revision_;
        auto roster = DecodeRoster((*aItem)->value_, options_.service_);
        if (roster) {
          scheduler_.LoadRoster(*roster);
        } else {
          LogStateChange("roster-unreadable",
                         { { "service", options_.service_ },
                           { "error", roster.error().Text() } });
          scheduler_.SetRosterUnknown();
        }
      }
      LoadCapShares();
    }));
}

/// Reads which shares of the accounts' caps this service has. Skipped while no
/// account has a cap.
void ServiceLeader::LoadCapShares()
{
  if (!scheduler_.Caps().IsOn()) {
    LoadProgress();
    return;
  }
  dependencies_.store_.Get(
    keys::CapShares(),
    guard_([this](const Result<std::optional<StoreItem>>& aItem) {
      if (!aItem) {
        Retry([this] { LoadCapShares(); });
        return;
      }
      if (aItem->has_value()) {
        auto table = DecodeCapTable((*aItem)->value_);
        if (table) {
          scheduler_.Caps().LoadShares((*aItem)->revision_,
                                       table->SharesOf(options_.service_),
                                       table->settledCaps_);
        } else {
          // Nothing of capped accounts starts until the pool manager has
          // written another table.
          LogStateChange("cap-shares-unreadable",
                         { { "service", options_.service_ },
                           { "error", table.error().Text() } });
        }
      }
      LoadProgress();
    }));
}

void ServiceLeader::LoadProgress()
{
  progress_.clear();
  ReadProgressPage("");
}

/// Reads a page of saved progress, and starts the watch for work after the last
/// one. Pages are consistent, as only this leader writes progress from now on.
void ServiceLeader::ReadProgressPage(const std::string& aAfter)
{
  std::string prefix = keys::ProgressPrefix(options_.service_);
  dependencies_.store_.Range(
    prefix, aAfter, guard_([this, prefix](const Result<StorePage>& aPage) {
      if (!aPage) {
        Retry([this] { LoadProgress(); });
        return;
      }
      for (const StoreItem& item : aPage->items_) {
        progress_[std::string(keys::SuffixAfter(item.key_, prefix))] = {
          item.value_, item.revision_
        };
      }
      if (aPage->hasMore_ && !aPage->items_.empty()) {
        ReadProgressPage(aPage->items_.back().key_);
        return;
      }
      FollowWork();
    }));
}

void ServiceLeader::FollowWork()
{
  work_ = std::make_unique<PrefixFollower>(
    dependencies_.base_,
    dependencies_.clock_,
    dependencies_.store_,
    static_cast<PrefixListener&>(*this),
    PrefixFollower::Options{
      keys::kWorkPrefix, options_.longestWatch_, kWorkWatchPause },
    options_.fence_);
}

void ServiceLeader::OnSnapshot(std::vector<StoreItem> aItems)
{
  // Jobs are added before their saved progress is loaded, and cancel marks are
  // applied after it.
  auto isCancel = [](const StoreItem& aItem) {
    return !keys::SuffixAfter(aItem.key_, keys::kCancelPrefix).empty();
  };
  movedJobs_.clear();
  auto cancels =
    std::stable_partition(aItems.begin(), aItems.end(), std::not_fn(isCancel));
  std::for_each(
    aItems.begin(), cancels, [this](const StoreItem& aItem) { Apply(aItem); });
  if (!loaded_) {
    OnLoaded();
  }
  std::for_each(
    cancels, aItems.end(), [this](const StoreItem& aItem) { Apply(aItem); });
  ScheduleDecision();
}

void ServiceLeader::OnLoaded()
{
  loaded_ = true;
  for (const auto& [job, saved] : progress_) {
    scheduler_.LoadProgress(job, saved.first, saved.second);
  }
  progress_.clear();
  LogStateChange("service-loaded",
                 { { "service", options_.service_ },
                   { "fence", std::to_string(options_.fence_) },
                   { "jobs", std::to_string(scheduler_.JobCount()) } });
}

void ServiceLeader::OnEvent(const StoreEvent& aEvent)
{
  if (aEvent.deleted_) {
    std::string_view job =
      keys::SuffixAfter(aEvent.item_.key_, keys::kJobPrefix);
    if (!job.empty()) {
      scheduler_.ForgetJob(job);
      if (auto moved = movedJobs_.find(job); moved != movedJobs_.end()) {
        movedJobs_.erase(moved);
      }
    }
    return;
  }
  Apply(aEvent.item_);
  ScheduleDecision();
}

void ServiceLeader::Apply(const StoreItem& aItem)
{
  std::string_view cancelled =
    keys::SuffixAfter(aItem.key_, keys::kCancelPrefix);
  if (!cancelled.empty()) {
    if (aItem.value_ == options_.service_) {
      scheduler_.CancelJob(cancelled);
    }
    return;
  }
  auto record = DecodeRecord(aItem.value_);
  if (!record) {
    LogStateChange(
      "job-unreadable",
      { { "key", aItem.key_ }, { "error", record.error().Text() } });
    return;
  }
  if (record->service_ != options_.service_) {
    NoteJobOfOtherService(*record);
    return;
  }
  CheckStillConfirmed();
  scheduler_.AddJob(std::move(*record), aItem.created_);
}

void ServiceLeader::NoteJobOfOtherService(const JobRecord& aRecord)
{
  const QueueConfig* queue =
    config_ == nullptr ? nullptr : config_->FindByName(aRecord.queue_);
  if (queue == nullptr || queue->service_ != aRecord.service_) {
    movedJobs_[aRecord.id_] = { aRecord.queue_, aRecord.service_ };
  }
}

std::set<std::string> ServiceLeader::EarlierServicesOf(
  std::string_view aQueue) const
{
  std::set<std::string> services;
  for (const auto& [id, job] : movedJobs_) {
    if (job.queue_ == aQueue) {
      services.insert(job.service_);
    }
  }
  return services;
}

void ServiceLeader::AddJob(JobRecord aRecord, Revision aCreated)
{
  // Before the saved state is loaded, the job comes with the snapshot.
  if (loaded_) {
    CheckStillConfirmed();
    scheduler_.AddJob(std::move(aRecord), aCreated);
    ScheduleDecision();
  }
}

void ServiceLeader::CancelJob(std::string_view aJob)
{
  if (loaded_) {
    scheduler_.CancelJob(aJob);
    ScheduleDecision();
  }
}

void ServiceLeader::RegisterTarget(const TargetInfo& aTarget)
{
  scheduler_.RegisterTarget(aTarget);
  ScheduleDecision();
}

void ServiceLeader::UnregisterTarget(const std::string& aId)
{
  scheduler_.UnregisterTarget(aId);
  ScheduleDecision();
}

bool ServiceLeader::KnowsJobs(Millis aMaxAge) const
{
  if (!loaded_) {
    return false;
  }
  switch (dependencies_.authority_()) {
    case Authority::Confirmed:
      return work_->Age() <= aMaxAge;
    case Authority::StoreUnreachable:
      return work_->Age() <= aMaxAge + kMaxCountAge;
    default:
      return false;
  }
}

bool ServiceLeader::GainsMovedQueue(const JobsConfig& aConfig) const
{
  return std::any_of(aConfig.queues_.begin(),
                     aConfig.queues_.end(),
                     [this](const QueueConfig& aQueue) {
                       return aQueue.service_ == options_.service_ &&
                              queuesTakenElsewhere_.count(aQueue.name_) > 0;
                     });
}

void ServiceLeader::SetConfig(std::shared_ptr<const JobsConfig> aConfig)
{
  scheduler_.SetAccounts(aConfig->accounts_);
  if (config_ != nullptr) {
    for (const QueueConfig& before : config_->queues_) {
      const QueueConfig* now = aConfig->FindByName(before.name_);
      bool isTaken = before.service_ != options_.service_ &&
                     (now == nullptr || now->service_ != before.service_);
      if (isTaken) {
        queuesTakenElsewhere_.insert(before.name_);
      }
    }
  }
  bool readsAgain = work_ != nullptr && GainsMovedQueue(*aConfig);
  config_ = std::move(aConfig);
  queues_.clear();
  for (const QueueConfig& queue : config_->queues_) {
    if (queue.service_ == options_.service_) {
      queues_.insert(queue.name_);
      queuesTakenElsewhere_.erase(queue.name_);
    }
  }
  if (readsAgain) {
    FollowWork();
  }
  if (!options_.hasPoolManager_) {
    scheduler_.Caps().SplitEvenly(config_->ServedServices().size());
  }
  ScheduleDecision();
}

bool ServiceLeader::ApplyPoolRequest(const PoolRequest& aRequest)
{
  bool accepted =
    scheduler_.SetVacating(aRequest.managerFence_, aRequest.vacating_);
  if (accepted) {
    scheduler_.RetireTargets(aRequest.gone_);
  }
  if (accepted && aRequest.caps_) {
    scheduler_.Caps().Apply(aRequest.managerFence_, *aRequest.caps_);
  }
  ScheduleDecision();
  return accepted;
}

void ServiceLeader::ScheduleDecision()
{
  if (!decisionScheduled_ && loaded_ && !deciding_) {
    decisionScheduled_ = true;
    StartDecisionTimer(decisionDelay_);
  }
}

void ServiceLeader::StartDecisionTimer(Millis aDelay)
{
  decisionDueAt_ = dependencies_.clock_.Now() + std::max(aDelay, Millis(0));
  decisionTimer_.Start(aDelay);
}

void ServiceLeader::NoteLateness()
{
  Millis late = dependencies_.clock_.Now() - decisionDueAt_;
  lateness_ += (late - lateness_) / kLatenessWindow;
  scheduler_.NoteLateness(late);
  Observe("decision_late_ms", late);
}

/// After a freeze of this VM, the last check may be old, so this is called at
/// each decision.
void ServiceLeader::ReadAuthority()
{
  Millis asOf = dependencies_.clock_.Now();
  scheduler_.SetAuthority(dependencies_.authority_(), asOf);
}

/// What a leader learns after it has been replaced must not pass for what it
/// knew before.
void ServiceLeader::CheckStillConfirmed()
{
  if (scheduler_.CurrentAuthority() == Authority::Confirmed) {
    ReadAuthority();
  }
}

void ServiceLeader::Decide()
{
  decisionScheduled_ = false;
  NoteLateness();
  if (steppedDown_) {
    return;
  }
  deciding_ = true;
  ReadAuthority();
  if (!scheduler_.IsReady() && dependencies_.wasKnownToPredecessorsOf_) {
    scheduler_.SetKnownToPredecessors(
      dependencies_.wasKnownToPredecessorsOf_(createdAt_));
  }
  Millis start = dependencies_.clock_.Now();
  std::vector<SchedulerOrder> orders = scheduler_.Decide();
  Millis took = dependencies_.clock_.Now() - start;
  decisionDelay_ = DecisionDelayAfter(took);
  Observe("decision_ms", took);
  for (SchedulerOrder& order : orders) {
    Execute(order);
  }
  deciding_ = false;
  Millis pause = scheduler_.NextDue() - dependencies_.clock_.Now();
  StartDecisionTimer(std::max(pause, decisionDelay_));
}

void ServiceLeader::Execute(SchedulerOrder& aOrder)
{
  if (auto* hold = std::get_if<TargetHold>(&aOrder)) {
    SendHold(*hold);
  } else if (auto* start = std::get_if<TargetStart>(&aOrder)) {
    SendStart(*start);
  } else if (auto* stop = std::get_if<TargetStop>(&aOrder)) {
    SendStop(*stop);
  } else if (auto* pace = std::get_if<TargetPace>(&aOrder)) {
    SendPace(*pace);
  } else if (auto* ask = std::get_if<AskAdvice>(&aOrder)) {
    RequestAdvice(*ask);
  } else if (auto* save = std::get_if<SaveProgress>(&aOrder)) {
    CommitProgress(*save);
  } else if (auto* roster = std::get_if<SaveRoster>(&aOrder)) {
    CommitRoster(*roster);
  }
}

void ServiceLeader::SendHold(const TargetHold& aHold)
{
  const TargetInfo& info = scheduler_.Targets().at(aHold.target_).info_;
  dependencies_.targets_.Hold(
    info,
    aHold.order_,
    guard_([this, id = aHold.target_, isProbe = aHold.order_.isProbe_](
             const HoldAnswer& aAnswer) {
      CheckStillConfirmed();
      if (isProbe) {
        scheduler_.OnProbe(id, aAnswer);
      } else {
        scheduler_.OnHold(id, aAnswer);
      }
      if (aAnswer.end_ == OrderEnd::FenceTooLow) {
        StepDown();
      }
      ScheduleDecision();
    }));
}

/// Returns a callback that passes an order's answer to aHandler of the
/// scheduler.
auto ServiceLeader::ToScheduler(const std::string& aTarget,
                                const RunKey& aRun,
                                AnswerHandler aHandler)
{
  return guard_([this, aTarget, aRun, aHandler](const OrderAnswer& aAnswer) {
    CheckStillConfirmed();
    (scheduler_.*aHandler)(aTarget, aRun, aAnswer);
    if (aAnswer.end_ == OrderEnd::FenceTooLow) {
      StepDown();
    }
    ScheduleDecision();
  });
}

void ServiceLeader::SendStart(const TargetStart& aStart)
{
  const StartOrder& order = aStart.order_;
  dependencies_.targets_.Start(scheduler_.Targets().at(aStart.target_).info_,
                               order,
                               ToScheduler(aStart.target_,
                                           { order.task_, order.run_ },
                                           &Scheduler::OnStart));
}

void ServiceLeader::SendStop(const TargetStop& aStop)
{
  const StopOrder& order = aStop.order_;
  dependencies_.targets_.Stop(scheduler_.Targets().at(aStop.target_).info_,
                              order,
                              ToScheduler(aStop.target_,
                                          { order.task_, order.run_ },
                                          &Scheduler::OnStop));
}

void ServiceLeader::SendPace(const TargetPace& aPace)
{
  const PaceOrder& order = aPace.order_;
  dependencies_.targets_.Pace(scheduler_.Targets().at(aPace.target_).info_,
                              order,
                              ToScheduler(aPace.target_,
                                          { order.task_, order.run_ },
                                          &Scheduler::OnPace));
}

void ServiceLeader::RequestAdvice(const AskAdvice& aAsk)
{
  if (dependencies_.advice_ == nullptr) {
    LogStateChange("advice-missing", { { "step", aAsk.step_.StepText() } });
    return;
  }
  dependencies_.advice_->Ask(
    { aAsk.step_.StepText(),
      aAsk.targets_,
      guard_.OrFalse(
        [this, step = aAsk.step_] { return scheduler_.WantsAdvice(step); }),
      guard_([this, step = aAsk.step_] {
        scheduler_.OnAdviceLate(step);
        ScheduleDecision();
      }),
      guard_([this, aAsk](const Advice& aAdvice, bool aWasLate) {
        scheduler_.OnAdvice(aAsk.step_, aAsk.targets_, aAdvice, aWasLate);
        ScheduleDecision();
      }) });
}

/// Returns whether a transaction failed because another leader has replaced
/// this one.
bool ServiceLeader::IsFencedOff(const CommitResult& aResult)
{
  if (aResult.end_ != CommitEnd::ConditionFailed) {
    return false;
  }
  std::string key = keys::Leader(options_.service_);
  return std::any_of(aResult.current_.begin(),
                     aResult.current_.end(),
                     [&](const StoreItem& aItem) {
                       return aItem.key_ == key && aItem.revision_ != 0 &&
                              aItem.revision_ != options_.fence_;
                     });
}

void ServiceLeader::CommitProgress(const SaveProgress& aSave)
{
  Transaction transaction =
    FencedTransaction(options_.service_, options_.fence_);
  for (const SaveProgress::Entry& entry : aSave.entries_) {
    std::string key = keys::Progress(options_.service_, entry.job_);
    transaction.conditions_.push_back({ key, entry.revision_ });
    transaction.puts_.push_back({ key, entry.progress_ });
  }
  dependencies_.store_.Commit(
    transaction, guard_([this, aSave](const CommitResult& aResult) {
      bool committed = aResult.end_ == CommitEnd::Committed;
      if (!committed) {
        LogStateChange("progress-not-saved",
                       { { "service", options_.service_ },
                         { "jobs", std::to_string(aSave.entries_.size()) },
                         { "reason", aResult.reason_ } });
      }
      // An earlier write without an answer may have been committed.
      std::string prefix = keys::ProgressPrefix(options_.service_);
      for (const StoreItem& item : aResult.current_) {
        std::string_view job = keys::SuffixAfter(item.key_, prefix);
        if (!job.empty()) {
          scheduler_.OnProgressRevision(job, item.revision_);
        }
      }
      scheduler_.OnSaved(aSave, committed ? aResult.revision_ : 0);
      if (IsFencedOff(aResult)) {
        StepDown();
      }
      ScheduleDecision();
    }));
}

void ServiceLeader::CommitRoster(const SaveRoster& aRoster)
{
  std::string key = keys::Roster(options_.service_);
  Transaction transaction =
    FencedTransaction(options_.service_, options_.fence_);
  transaction.conditions_.push_back({ key, rosterRevision_ });
  transaction.puts_.push_back({ key, EncodeRoster(aRoster.targets_) });
  dependencies_.store_.Commit(
    transaction, guard_([this, key](const CommitResult& aResult) {
      rosterRevision_ = RevisionAfter(aResult, key, rosterRevision_);
      scheduler_.OnRosterSaved(aResult.end_ == CommitEnd::Committed);
      if (IsFencedOff(aResult)) {
        StepDown();
      }
      ScheduleDecision();
    }));
}

void ServiceLeader::StepDown()
{
  if (!steppedDown_) {
    steppedDown_ = true;
    onStepDown_();
  }
}

void ServiceLeader::DeleteOldItems()
{
  deletionTimer_.Start(options_.deletionInterval_);
  if (steppedDown_) {
    return;
  }
  DeleteEndedJobs();
  DeleteUnmatchedCancels();
}

/// Deletes jobs that ended long enough ago from the store.
void ServiceLeader::DeleteEndedJobs()
{
  Transaction transaction =
    FencedTransaction(options_.service_, options_.fence_);
  Millis now = dependencies_.clock_.Now();
  std::size_t deleted = 0;
  for (const std::string& job : scheduler_.EndedJobs()) {
    Millis since = endedSince_.try_emplace(job, now).first->second;
    if (now - since < RetentionTime() || deleted == kMaxDeletedJobs) {
      continue;
    }
    ++deleted;
    endedSince_.erase(job);
    transaction.deletes_.push_back(keys::Job(job));
    transaction.deletes_.push_back(keys::Cancel(job));
    transaction.deletes_.push_back(keys::Progress(options_.service_, job));
  }
  if (deleted == 0) {
    return;
  }
  dependencies_.store_.Commit(
    transaction, guard_([this](const CommitResult& aResult) {
      LogStateChange(
        "ended-jobs-deletion",
        { { "service", options_.service_ },
          { "done", aResult.end_ == CommitEnd::Committed ? "1" : "0" } });
    }));
}

/// Deletes the cancel marks of jobs that were not stored. They are kept as long
/// as ended jobs, so that requests to submit such a job have ended before.
void ServiceLeader::DeleteUnmatchedCancels()
{
  std::vector<std::string> jobs = scheduler_.UnmatchedCancels(RetentionTime());
  if (jobs.empty()) {
    return;
  }
  Transaction transaction =
    FencedTransaction(options_.service_, options_.fence_);
  jobs.resize(
    std::min(jobs.size(), Transaction::kMaxEntries - transaction.Entries()));
  for (const std::string& job : jobs) {
    transaction.deletes_.push_back(keys::Cancel(job));
  }
  dependencies_.store_.Commit(
    transaction,
    guard_([this, jobs = std::move(jobs)](const CommitResult& aResult) {
      bool deleted = aResult.end_ == CommitEnd::Committed;
      if (deleted) {
        for (const std::string& job : jobs) {
          scheduler_.ForgetCancel(job);
        }
      }
      LogStateChange("cancel-marks-deletion",
                     { { "service", options_.service_ },
                       { "marks", std::to_string(jobs.size()) },
                       { "done", deleted ? "1" : "0" } });
    }));
}

/// Returns how long an item stays in the store once it is no longer needed.
Millis ServiceLeader::RetentionTime() const
{
  return options_.endedJobRetention_ + options_.deletionInterval_;
}

} // namespace coltsfootshed
