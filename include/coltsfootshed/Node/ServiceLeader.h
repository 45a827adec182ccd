/// \file
/// Leads one service: loads its state from the store, carries the scheduler's
/// orders to targets and store, and brings back their answers.
#ifndef COLTSFOOTSHED_NODE_SERVICELEADER_H
#define COLTSFOOTSHED_NODE_SERVICELEADER_H

#include "coltsfootshed/Scheduling/Scheduler.h"
#include "coltsfootshed/Store/PrefixFollower.h"
#include "coltsfootshed/Support/AliveGuard.h"

namespace coltsfootshed {

class ServiceLeader final : private PrefixListener
{
public:
  struct Dependencies
  {
    event_base* base_ = nullptr;
    const Clock& clock_;
    const Clock& timeOfDay_;
    KeyValueStore& store_;
    TargetCalls& targets_;
    AdviceCalls* advice_ = nullptr; ///< null: none is configured
  };
  struct Options
  {
    std::string service_;
    Fence fence_ = 0; ///< revision of the leader's key
    Millis lease_{ 5000 };
    Millis longestLease_{ 10000 };
    Millis keepEnded_{ 120000 };
    double farFactor_ = 1;
  };

  /// aOnAbdicate runs, later, when a higher fence was found.
  ServiceLeader(Dependencies aDependencies,
                Options aOptions,
                std::function<void()> aOnAbdicate);
  ~ServiceLeader() override;
  ServiceLeader(const ServiceLeader&) = delete;
  ServiceLeader& operator=(const ServiceLeader&) = delete;

  /// aCreated: revision at which the store accepted it.
  void AddJob(JobRecord aRecord, Revision aCreated);
  void CancelJob(std::string_view aJob);
  void RegisterTarget(const TargetInfo& aTarget);
  void UnregisterTarget(const std::string& aId);
  void SetAuthority(Authority aAuthority);
  bool SetVacating(Fence aManager, std::span<const std::string> aTargets);

  /// True once the saved state is loaded.
  bool IsLoaded() const { return loaded_; }
  const Scheduler& State() const { return scheduler_; }

private:
  void OnSnapshot(std::vector<StoreItem> aItems) override;
  void OnEvent(const StoreEvent& aEvent) override;
  void Apply(const StoreItem& aItem);
  void LoadRoster();
  void LoadProgress();
  void ReadProgressPage(const std::string& aAfter);
  void Loaded();
  void Retry(std::function<void()> aStep);

  void Kick();
  void Run();
  void Carry(SchedulerOrder& aOrder);
  void CarryHold(const TargetHold& aHold);
  using AnswerHandler = void (Scheduler::*)(const std::string&,
                                            const RunKey&,
                                            const OrderAnswer&);
  auto ToScheduler(const std::string& aTarget,
                   const RunKey& aRun,
                   AnswerHandler aHandler);
  void CarryStart(const TargetStart& aStart);
  void CarryStop(const TargetStop& aStop);
  void CarryPace(const TargetPace& aPace);
  void CarryAdvice(const AskAdvice& aAsk);
  void CarrySave(const SaveProgress& aSave);
  void CarryRoster(const SaveRoster& aRoster);
  bool IsFencedOff(const CommitResult& aResult);
  void Abdicate();
  void Collect();

  Dependencies with_;
  Options options_;
  std::function<void()> onAbdicate_;
  Scheduler scheduler_;
  Timer runTimer_;
  Timer retryTimer_;
  Timer collectTimer_;
  std::function<void()> retryStep_;
  bool loaded_ = false;
  bool kicked_ = false;
  bool running_ = false;
  bool abdicated_ = false;
  Revision rosterRevision_ = 0;
  std::map<std::string, std::pair<std::string, Revision>> progress_;
  std::map<std::string, Millis> endedSince_;
  std::unique_ptr<PrefixFollower> work_;
  AliveGuard guard_;
};

} // namespace coltsfootshed

#endif
