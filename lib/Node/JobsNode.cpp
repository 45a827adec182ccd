#include "coltsfootshed/Node/JobsNode.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"

#include <algorithm>
#include <event2/event.h>
#include <spdlog/spdlog.h>
#include <xxhash.h>

namespace coltsfootshed {

/// Log lines wait at most this long in the process.
static constexpr Millis kFlushPause{ 250 };
/// Without an answer of the store for this long, clients are better served by
/// another entry VM.
static constexpr Millis kReadyAge{ 1800 };
/// The balancer notices within two checks, one a second, that a VM leaves.
static constexpr Millis kStopListen{ 2200 };
static constexpr Millis kStopCheck{ 100 };
/// Answers must be out this long before the process is killed.
static constexpr Millis kStopMargin{ 700 };
/// Half of what targets grant at most: longer leases delay the restart of
/// lost tasks, shorter ones do not outlast a change of leaders.
static constexpr Millis kRunLease{ 5000 };

static std::uint64_t SeedOf(std::string_view aNode)
{
  return XXH3_64bits(aNode.data(), aNode.size());
}

JobsNode::JobsNode(Dependencies aDependencies,
                   NodeSettings aSettings,
                   WireFormat aFormat)
  : with_(aDependencies)
  , settings_(std::move(aSettings))
  , format_(std::move(aFormat))
  , table_(with_.base_,
           with_.clock_,
           with_.store_,
           { settings_.node_,
             settings_.peers_,
             settings_.cpuShare_,
             settings_.leastLease_ },
           [this](const std::string& aDuty, Revision aRevision) {
             OnDuty(aDuty, aRevision);
           })
  , links_(with_.base_,
           with_.clock_,
           table_,
           [this](std::string_view aService) { return FindLeader(aService); })
  , witness_(with_.base_,
             with_.clock_,
             table_,
             settings_.node_,
             [this](Authority aAuthority) {
               for (auto& [service, leader] : leaders_) {
                 leader->SetAuthority(aAuthority);
               }
             })
  , desk_(with_.clock_,
          with_.timeOfDay_,
          with_.store_,
          links_,
          format_,
          [this] { return witness_.ReachesStore(); })
  , front_(with_.base_,
           {},
           [this](const std::shared_ptr<ServerExchange>& aExchange) {
             desk_.Serve(aExchange);
           })
  , ready_(with_.base_,
           {},
           [this](const std::shared_ptr<ServerExchange>& aExchange) {
             aExchange->Reply({ IsReady() ? 200 : 503, {}, {} });
           })
  , peers_(with_.base_,
           {},
           [this](const std::shared_ptr<ServerExchange>& aExchange) {
             ServePeer(aExchange);
           })
  , operator_(with_.base_,
              with_.clock_,
              with_.store_,
              *this,
              { format_.operatorPrefix_ },
              SeedOf(settings_.node_))
  , flushTimer_(with_.base_,
                [this] {
                  spdlog::default_logger_raw()->flush();
                  flushTimer_.Start(kFlushPause);
                })
  , abandonTimer_(with_.base_,
                  [this] {
                    for (const std::string& duty :
                         std::exchange(toAbandon_, {})) {
                      table_.Abandon(duty);
                    }
                  })
  , stopTimer_(with_.base_, [this] { CheckStopped(); })
{
  flushTimer_.Start(kFlushPause);
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
    TakeItem(item);
  }
}

void JobsNode::OnEvent(const StoreEvent& aEvent)
{
  if (!aEvent.deleted_) {
    TakeItem(aEvent.item_);
  }
}

void JobsNode::TakeItem(const StoreItem& aItem)
{
  if (aItem.key_ == format_.configKey_) {
    TakeConfig(aItem);
  } else if (!keys::After(aItem.key_, format_.wavePrefix_).empty()) {
    TakeWave(aItem);
  }
}

void JobsNode::TakeWave(const StoreItem& aItem)
{
  auto wave = format_.readWave_(aItem.value_);
  if (!wave) {
    LogBelief("wave-unreadable",
              { { "key", aItem.key_ }, { "error", wave.error().Text() } });
    return;
  }
  LogBelief("wave",
            { { "wave", std::to_string(wave->number_) },
              { "vms", std::to_string(wave->vms_.size()) },
              { "cap", std::to_string(wave->cap_) } });
  waves_[wave->number_] = *wave;
  if (pools_ != nullptr) {
    pools_->SetWave(*wave);
  }
}

void JobsNode::TakeConfig(const StoreItem& aItem)
{
  auto config = format_.readConfig_(aItem.value_);
  if (!config) {
    LogBelief("config-unreadable", { { "error", config.error().Text() } });
    return;
  }
  if (config_ != nullptr && config->version_ <= config_->version_) {
    return;
  }
  LogBelief("config",
            { { "version", std::to_string(config->version_) },
              { "revision", std::to_string(aItem.revision_) },
              { "queues", std::to_string(config->queues_.size()) },
              { "services", std::to_string(config->services_.size()) } });
  config_ = std::make_shared<const JobsConfig>(std::move(*config));
  desk_.SetConfig(config_);
  if (pools_ != nullptr) {
    pools_->SetConfig(config_);
  }
  std::set<std::string> duties;
  if (with_.vms_ != nullptr) {
    duties.insert(keys::kPoolsDuty);
  }
  for (const ServiceConfig& service : config_->services_) {
    if (!service.spare_) {
      duties.insert(service.name_);
    }
  }
  table_.SetDuties(std::move(duties));
}

ServiceLeader* JobsNode::FindLeader(std::string_view aService)
{
  auto found = leaders_.find(aService);
  return found == leaders_.end() ? nullptr : found->second.get();
}

void JobsNode::LeadPools(Revision aRevision)
{
  pools_.reset();
  if (aRevision == 0) {
    return;
  }
  pools_ = std::make_unique<PoolManager>(
    PoolManager::Dependencies{
      with_.base_, with_.clock_, with_.store_, *with_.vms_, links_, format_ },
    settings_.node_,
    aRevision,
    settings_.machineLease_);
  pools_->SetConfig(config_);
  for (const auto& [number, wave] : waves_) {
    pools_->SetWave(wave);
  }
}

void JobsNode::OnDuty(const std::string& aDuty, Revision aRevision)
{
  if (aDuty == keys::kPoolsDuty) {
    LeadPools(aRevision);
    return;
  }
  leaders_.erase(aDuty);
  if (aRevision == 0) {
    return;
  }
  ServiceLeader::Dependencies dependencies{ with_.base_,      with_.clock_,
                                            with_.timeOfDay_, with_.store_,
                                            with_.targets_,   with_.advice_ };
  ServiceLeader::Options options;
  options.service_ = aDuty;
  options.fence_ = aRevision;
  options.lease_ = std::min(kRunLease, settings_.longestHold_ / 2);
  options.longestLease_ = settings_.longestHold_;
  options.keepEnded_ = settings_.keepEnded_;
  options.farFactor_ = settings_.farFactor_;
  auto leader =
    std::make_unique<ServiceLeader>(dependencies, options, [this, aDuty] {
      toAbandon_.push_back(aDuty);
      abandonTimer_.Start(Millis(0));
    });
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
    with_.base_,
    with_.clock_,
    with_.store_,
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
    SeedOf(settings_.node_));
}

void JobsNode::ServePeer(const std::shared_ptr<ServerExchange>& aExchange)
{
  if (PathOf(aExchange->Request().target_) == StoreWitness::kPath) {
    aExchange->Reply(
      { 200,
        {},
        witness_.ReachesStore() ? StoreWitness::kYes : StoreWitness::kNo });
    return;
  }
  links_.Serve(aExchange);
}

bool JobsNode::IsReady() const
{
  return !stopping_ && config_ != nullptr && table_.IsMember() &&
         table_.StoreAge() < kReadyAge;
}

void JobsNode::Stop()
{
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stopAt_ = with_.clock_.Now();
  LogBelief("stopping", { { "open", std::to_string(front_.Open()) } });
  front_.CloseAfterAnswers();
  leaders_.clear();
  pools_.reset();
  table_.Leave([this] { left_ = true; });
  stopTimer_.Start(kStopCheck);
}

void JobsNode::CheckStopped()
{
  Millis since = with_.clock_.Now() - stopAt_;
  bool done = left_ && since >= kStopListen && front_.Open() == 0;
  if (done || since >= settings_.stopGrace_ - kStopMargin) {
    LogBelief("stopped",
              { { "open", std::to_string(front_.Open()) },
                { "after_ms", std::to_string(since.count()) } });
    event_base_loopbreak(with_.base_);
    return;
  }
  stopTimer_.Start(kStopCheck);
}

} // namespace coltsfootshed
