#include "coltsfootshed/Node/JobsNode.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"

#include <algorithm>
#include <event2/event.h>
#include <spdlog/spdlog.h>
#include <xxhash.h>

namespace coltsfootshed {

/// Log lines are buffered in the process for at most this long.
static constexpr Millis kLogFlushInterval{ 250 };
/// A VM that got no answer of the store for this long is not ready: another
/// entry VM serves clients better.
static constexpr Millis kMaxReadyStoreAge{ 1800 };
/// A stopping VM serves clients for this long, as the balancer checks readiness
/// once a second and notices within two checks that a VM stops.
static constexpr Millis kStopListenTime{ 2200 };
static constexpr Millis kStopCheckInterval{ 100 };
/// The process ends this long before it would be killed, so that its answers
/// are sent.
static constexpr Millis kStopMargin{ 700 };
/// Lease of a run, half of the longest that targets grant. Longer leases delay
/// the restart of lost tasks, shorter ones end before a new leader can renew
/// them.
static constexpr Millis kRunLease{ 5000 };
/// Shortest time for which a new leader waits for targets that do not answer.
/// A leader that has lost the store keeps its runs for as long.
static constexpr Millis kMinTakeOverWait{ 4000 };

/// A leader whose decisions are this late is overloaded: a job of two steps
/// would spend a tenth of a second and more on waiting for decisions.
static constexpr Millis kOverloadLateness{ 50 };

static std::uint64_t SeedOf(std::string_view aNode)
{
  return XXH3_64bits(aNode.data(), aNode.size());
}

JobsNode::JobsNode(Dependencies aDependencies,
                   NodeSettings aSettings,
                   StoreTimeouts aTimeouts,
                   WireFormat aFormat)
  : dependencies_(aDependencies)
  , settings_(std::move(aSettings))
  , timeouts_(aTimeouts)
  , format_(std::move(aFormat))
  , election_(
      dependencies_.base_,
      dependencies_.clock_,
      dependencies_.store_,
      { settings_.node_,
        settings_.peers_,
        settings_.cpuShare_,
        settings_.linkMbps_,
        settings_.minLease_,
        timeouts_.watch_ },
      [this](const std::string& aDuty, Revision aRevision) {
        OnLeadership(aDuty, aRevision);
      },
      [this](const std::string& aDuty) {
        const ServiceLeader* leader = FindLeader(aDuty);
        return leader != nullptr && leader->Lateness() >= kOverloadLateness;
      })
  , leaderRpc_(
      dependencies_.base_,
      dependencies_.clock_,
      election_,
      [this](std::string_view aService) { return FindLeader(aService); },
      settings_.jobVisibilityDeadline_)
  , outageDetector_(dependencies_.base_,
                    dependencies_.clock_,
                    election_,
                    settings_.node_,
                    [this] {
                      for (auto& [service, leader] : leaders_) {
                        leader->OnAuthorityChecked();
                      }
                    })
  , configReader_(dependencies_.clock_,
                  dependencies_.store_,
                  format_.configKey_,
                  [this](const StoreItem& aItem) { ApplyConfig(aItem); })
  , freshness_(operatorKeys_,
               configReader_,
               outageDetector_,
               settings_.configDeadline_,
               settings_.contactTime_)
  , jobApi_(dependencies_.clock_,
            dependencies_.wallClock_,
            dependencies_.store_,
            leaderRpc_,
            format_,
            configReader_,
            freshness_,
            [this] { return outageDetector_.ReachesStore(); })
  , front_(dependencies_.base_,
           {},
           [this](const std::shared_ptr<ServerExchange>& aExchange) {
             jobApi_.Serve(aExchange);
           })
  , ready_(dependencies_.base_,
           {},
           [this](const std::shared_ptr<ServerExchange>& aExchange) {
             aExchange->Reply({ IsReady() ? 200 : 503, {}, {} });
           })
  , peers_(dependencies_.base_,
           {},
           [this](const std::shared_ptr<ServerExchange>& aExchange) {
             ServePeer(aExchange);
           })
  , operatorKeys_(dependencies_.base_,
                  dependencies_.clock_,
                  dependencies_.store_,
                  *this,
                  { format_.operatorPrefix_, timeouts_.watch_ },
                  SeedOf(settings_.node_))
  , flushTimer_(dependencies_.base_,
                [this] {
                  spdlog::default_logger_raw()->flush();
                  flushTimer_.Start(kLogFlushInterval);
                })
  , abandonTimer_(dependencies_.base_,
                  [this] {
                    for (const std::string& duty :
                         std::exchange(dutiesToAbandon_, {})) {
                      election_.Abandon(duty);
                    }
                  })
  , stopTimer_(dependencies_.base_, [this] { CheckStopped(); })
{
  flushTimer_.Start(kLogFlushInterval);
}

JobsNode::~JobsNode() = default;

Result<void> JobsNode::Listen()
{
  for (auto [server, address] : { std::pair(&front_, &settings_.front_),
                                  std::pair(&ready_, &settings_.ready_),
                                  std::pair(&peers_, &settings_.peers_) }) {
    auto listening = server->Listen(*address);
    if (!listening) {
      return listening;
    }
  }
  return {};
}

void JobsNode::OnSnapshot(std::vector<StoreItem> aItems)
{
  for (const StoreItem& item : aItems) {
    ApplyItem(item);
  }
}

void JobsNode::OnEvent(const StoreEvent& aEvent)
{
  // A configuration or wave stays in force after its key is deleted.
  if (!aEvent.deleted_) {
    ApplyItem(aEvent.item_);
  }
}

void JobsNode::ApplyItem(const StoreItem& aItem)
{
  if (aItem.key_ == format_.configKey_) {
    ApplyConfig(aItem);
  } else if (!keys::SuffixAfter(aItem.key_, format_.wavePrefix_).empty()) {
    ApplyWave(aItem);
  }
}

void JobsNode::ApplyWave(const StoreItem& aItem)
{
  auto wave = format_.readWave_(aItem.value_);
  if (!wave) {
    LogStateChange("wave-unreadable",
                   { { "key", aItem.key_ }, { "error", wave.error().Text() } });
    return;
  }
  LogStateChange(
    "wave",
    { { "wave", std::to_string(wave->number_) },
      { "vms", std::to_string(wave->vms_.size()) },
      { "max_unavailable", std::to_string(wave->maxUnavailable_) } });
  waves_[wave->number_] = *wave;
  if (poolManager_ != nullptr) {
    poolManager_->SetWave(*wave);
  }
}

void JobsNode::ApplyConfig(const StoreItem& aItem)
{
  auto config = format_.readConfig_(aItem.value_);
  if (!config) {
    LogStateChange("config-unreadable", { { "error", config.error().Text() } });
    return;
  }
  if (config_ != nullptr && config->version_ <= config_->version_) {
    return;
  }
  LogStateChange("config",
                 { { "version", std::to_string(config->version_) },
                   { "revision", std::to_string(aItem.revision_) },
                   { "queues", std::to_string(config->queues_.size()) },
                   { "services", std::to_string(config->services_.size()) } });
  config_ = std::make_shared<const JobsConfig>(std::move(*config));
  jobApi_.SetConfig(config_);
  if (poolManager_ != nullptr) {
    poolManager_->SetConfig(config_);
  }
  for (auto& [service, leader] : leaders_) {
    leader->SetConfig(config_);
  }
  std::set<std::string> duties = config_->ServedServices();
  if (dependencies_.vms_ != nullptr) {
    duties.insert(keys::kPoolsDuty);
  }
  election_.SetDuties(std::move(duties));
}

ServiceLeader* JobsNode::FindLeader(std::string_view aService)
{
  auto found = leaders_.find(aService);
  return found == leaders_.end() ? nullptr : found->second.get();
}

void JobsNode::OnPoolLeadership(Revision aRevision)
{
  poolManager_.reset();
  if (aRevision == 0) {
    return;
  }
  poolManager_ = std::make_unique<PoolManager>(
    PoolManager::Dependencies{ dependencies_.base_,
                               dependencies_.clock_,
                               dependencies_.store_,
                               *dependencies_.vms_,
                               leaderRpc_,
                               format_ },
    settings_.node_,
    aRevision,
    settings_.vmHolderLease_);
  poolManager_->SetConfig(config_);
  for (const auto& [number, wave] : waves_) {
    poolManager_->SetWave(wave);
  }
}

Millis JobsNode::RunLease() const
{
  return std::min(kRunLease, settings_.longestTargetLease_ / 2);
}

Millis JobsNode::TakeOverWait() const
{
  return std::max(RunLease(), kMinTakeOverWait);
}

void JobsNode::OnLeadership(const std::string& aDuty, Revision aRevision)
{
  if (aDuty == keys::kPoolsDuty) {
    OnPoolLeadership(aRevision);
    return;
  }
  leaders_.erase(aDuty);
  if (aRevision == 0) {
    return;
  }
  ServiceLeader::Dependencies dependencies{
    dependencies_.base_,
    dependencies_.clock_,
    dependencies_.wallClock_,
    dependencies_.store_,
    dependencies_.targets_,
    dependencies_.advice_,
    [this] { return outageDetector_.CurrentAuthority(); },
    [this](Millis aSince) {
      return outageDetector_.WasKnownToPredecessorsOf(
        aSince, TakeOverWait() - RunLease());
    }
  };
  ServiceLeader::Options options;
  options.service_ = aDuty;
  options.fence_ = aRevision;
  options.lease_ = RunLease();
  options.longestLease_ = settings_.longestTargetLease_;
  options.takeOverWait_ = TakeOverWait();
  options.longestStop_ = settings_.longestStop_;
  options.endedJobRetention_ = settings_.endedJobRetention_;
  options.longestWatch_ = timeouts_.watch_;
  options.remoteDataSlowdown_ = settings_.remoteDataSlowdown_;
  options.hasPoolManager_ = dependencies_.vms_ != nullptr;
  auto leader =
    std::make_unique<ServiceLeader>(dependencies, options, [this, aDuty] {
      dutiesToAbandon_.push_back(aDuty);
      abandonTimer_.Start(Millis(0));
    });
  if (config_ != nullptr) {
    leader->SetConfig(config_);
  }
  StartRegistry();
  for (const auto& [id, target] : registry_->Targets()) {
    leader->RegisterTarget(target);
  }
  leaders_[aDuty] = std::move(leader);
}

void JobsNode::StartRegistry()
{
  if (registry_ != nullptr) {
    return;
  }
  registry_ = std::make_unique<TargetRegistry>(
    dependencies_.base_,
    dependencies_.clock_,
    dependencies_.store_,
    format_,
    TargetRegistry::Listener{ [this](const TargetInfo& aTarget) {
                               for (auto& [service, leader] : leaders_) {
                                 leader->RegisterTarget(aTarget);
                               }
                             },
                              [this](const std::string& aId) {
                                for (auto& [service, leader] : leaders_) {
                                  leader->UnregisterTarget(aId);
                                }
                              } },
    timeouts_.watch_,
    SeedOf(settings_.node_));
}

void JobsNode::ServePeer(const std::shared_ptr<ServerExchange>& aExchange)
{
  if (PathOf(aExchange->Request().target_) == StoreOutageDetector::kPath) {
    aExchange->Reply({ 200,
                       {},
                       outageDetector_.AnswerToPeer()
                         ? StoreOutageDetector::kYes
                         : StoreOutageDetector::kNo });
    return;
  }
  leaderRpc_.Serve(aExchange);
}

bool JobsNode::IsReady() const
{
  return !stopping_ && config_ != nullptr && election_.IsMember() &&
         election_.TimeSinceRenewal() < kMaxReadyStoreAge &&
         freshness_.MayShowJobs();
}

void JobsNode::Stop()
{
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stopAt_ = dependencies_.clock_.Now();
  LogStateChange("stopping",
                 { { "open", std::to_string(front_.UnansweredRequests()) } });
  front_.CloseAfterAnswers();
  leaders_.clear();
  poolManager_.reset();
  election_.Leave([this] { hasLeft_ = true; });
  stopTimer_.Start(kStopCheckInterval);
}

void JobsNode::CheckStopped()
{
  Millis since = dependencies_.clock_.Now() - stopAt_;
  bool done =
    hasLeft_ && since >= kStopListenTime && front_.UnansweredRequests() == 0;
  if (done || since >= settings_.stopGrace_ - kStopMargin) {
    LogStateChange("stopped",
                   { { "open", std::to_string(front_.UnansweredRequests()) },
                     { "after_ms", std::to_string(since.count()) } });
    event_base_loopbreak(dependencies_.base_);
    return;
  }
  stopTimer_.Start(kStopCheckInterval);
}

} // namespace coltsfootshed
