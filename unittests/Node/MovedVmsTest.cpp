/// \file
/// Tests a VM that takes over the pool manager's and a leader's duty when a
/// target of the saved roster does not answer.

#include "Documents.h"
#include "Support/FakeStore.h"
#include "Support/FreeAddress.h"
#include "coltsfootshed/Node/JobsNode.h"
#include "coltsfootshed/Store/Keys.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

namespace coltsfootshed {

namespace {

/// The target t1 answers holds at once; no other one answers anything.
class OneTarget final : public TargetCalls
{
public:
  OneTarget(event_base* aBase, const Clock& aClock)
    : base_(aBase)
    , clock_(aClock)
  {
  }
  void Hold(const TargetInfo& aTarget,
            const HoldOrder&,
            std::function<void(HoldAnswer)> aOnEnd) override
  {
    if (aTarget.id_ != "t1") {
      return;
    }
    if (heldAt_ == Millis(0)) {
      heldAt_ = clock_.Now();
    }
    timers_.push_back(
      std::make_unique<Timer>(base_, [this, onEnd = std::move(aOnEnd)] {
        HoldAnswer answer;
        answer.end_ = OrderEnd::Done;
        answer.clock_ = clock_.Now().count();
        answer.startedAt_ = 1;
        onEnd(answer);
      }));
    timers_.back()->Start(Millis(1));
  }
  void Start(const TargetInfo&,
             const StartOrder&,
             std::function<void(OrderAnswer)>) override
  {
    if (startedAt_ == Millis(0)) {
      startedAt_ = clock_.Now();
    }
  }
  void Stop(const TargetInfo&,
            const StopOrder&,
            std::function<void(OrderAnswer)>) override
  {
  }
  void Pace(const TargetInfo&,
            const PaceOrder&,
            std::function<void(OrderAnswer)>) override
  {
  }

  Millis heldAt_{ 0 };    ///< first hold; 0: none
  Millis startedAt_{ 0 }; ///< first start; 0: none

private:
  event_base* base_;
  const Clock& clock_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

/// Lists the VM v1 in the pool s, and v9 in a pool that a test chooses.
class TwoVms final : public VmCalls
{
public:
  explicit TwoVms(event_base* aBase)
    : base_(aBase)
  {
  }
  void List(std::function<void(Result<std::vector<PoolVm>>)> aOnList) override
  {
    timers_.push_back(
      std::make_unique<Timer>(base_, [this, onList = std::move(aOnList)] {
        PoolVm busy;
        busy.vm_ = "v1";
        busy.pool_ = "s";
        busy.target_ = "t1";
        PoolVm other = busy;
        other.vm_ = "v9";
        other.pool_ = pool_;
        other.target_ = "t10";
        onList(std::vector<PoolVm>{ busy, other });
      }));
    timers_.back()->Start(Millis(1));
  }
  void Move(const std::string&,
            const std::string&,
            const VmOrderFence&,
            std::function<void(VmOrderEnd)>) override
  {
  }
  void Maintain(const std::string&,
                std::int64_t,
                const VmOrderFence&,
                std::function<void(VmOrderEnd)>) override
  {
  }

  std::string pool_;

private:
  event_base* base_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

constexpr const char* kConfig =
  R"({"Version":1,"Services":[{"Name":"s"},{"Name":"spare","Spare":true}],
      "Routes":[{"Name":"q","Host":"h","Prefix":"/q/","Service":"s"}]})";
constexpr const char* kRegistryEntryOfT1 =
  R"({"Service":"s","Addr":"10.0.0.1:1","State":"ready","Machine":"v1",
      "Capacity":{"Cpu":8000,"MemMb":4096},"born":1})";
constexpr const char* kRosterOfAnEarlierLeader =
  R"([["t1","10.0.0.1:1","v1"],["t9","10.0.0.9:1","v9"]])";

} // namespace

class MovedVmsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MovedVmsTest);
  CPPUNIT_TEST(TasksDoNotWaitForTargetsWhoseVmsWereMoved);
  CPPUNIT_TEST(TasksWaitForSilentTargetsWhoseVmsStay);
  CPPUNIT_TEST(TasksWaitIfAnEarlierManagerMayBringTheVmBack);
  CPPUNIT_TEST_SUITE_END();

  /// Well below the time after which a leader waits no longer.
  static constexpr Millis kSoon{ 3500 };

public:
  void setUp() override
  {
    base_ = event_base_new();
    store_ = std::make_unique<FakeStore>(base_);
    targets_ = std::make_unique<OneTarget>(base_, clock_);
    vms_ = std::make_unique<TwoVms>(base_);
    store_->Change(format_.configKey_, kConfig);
    store_->Change(format_.registryPrefix_ + "t1", kRegistryEntryOfT1);
    store_->Change(keys::Roster("s"), kRosterOfAnEarlierLeader);
    JobRecord record;
    record.id_ = "00000000000000aa";
    record.service_ = "s";
    record.queue_ = "q";
    record.acceptedAt_ = wallClock_.Now();
    record.spec_.steps_.emplace_back();
    record.spec_.steps_[0].taskResources_ = { 1000, 1024, 0 };
    record.spec_.steps_[0].estimate_ = Millis(500);
    store_->Change(keys::Job(record.id_), EncodeRecord(record));
  }
  void tearDown() override
  {
    node_.reset();
    vms_.reset();
    targets_.reset();
    store_.reset();
    event_base_free(base_);
  }

  /// SHORT: in a peak, tasks waited 5.2 s for VMs that had been idle and were
  /// moved just before their leader and the pool manager were lost.
  void TasksDoNotWaitForTargetsWhoseVmsWereMoved()
  {
    CPPUNIT_ASSERT(StartsSoon("spare"));
  }

  void TasksWaitForSilentTargetsWhoseVmsStay()
  {
    CPPUNIT_ASSERT(!StartsSoon("s"));
  }

  /// The list may be older than the order.
  void TasksWaitIfAnEarlierManagerMayBringTheVmBack()
  {
    store_->Change(keys::PoolManagerState(),
                   R"({"waves":"[]","ordered":{"v9":["vm2",0,["s"]]}})");
    CPPUNIT_ASSERT(!StartsSoon("spare"));
  }

private:
  /// Lets a VM take over while v9 is listed in a pool. Returns true if the job
  /// starts soon after its leader has asked the targets what runs on them.
  bool StartsSoon(const std::string& aPool)
  {
    vms_->pool_ = aPool;
    NodeSettings settings;
    settings.node_ = "vm1";
    settings.front_ = FreeAddress();
    settings.ready_ = FreeAddress();
    settings.peers_ = FreeAddress();
    constexpr StoreTimeouts kTimeouts{ Millis(1200), Millis(100) };
    node_ = std::make_unique<JobsNode>(
      JobsNode::Dependencies{
        base_, clock_, wallClock_, *store_, *targets_, nullptr, vms_.get() },
      settings,
      kTimeouts,
      format_);
    CPPUNIT_ASSERT(node_->Listen().has_value());
    constexpr Millis kLimit{ 20000 }; // far more than a busy machine needs
    Millis end = clock_.Now() + kLimit;
    while (targets_->heldAt_ == Millis(0)) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      RunFor(Millis(5));
    }
    while (clock_.Now() < targets_->heldAt_ + kSoon) {
      RunFor(Millis(5));
      if (targets_->startedAt_ != Millis(0)) {
        return true;
      }
    }
    return false;
  }

  void RunFor(Millis aTime)
  {
    Millis end = clock_.Now() + aTime;
    while (clock_.Now() < end) {
      timeval poll{ 0, 2000 };
      event_base_loopexit(base_, &poll);
      event_base_dispatch(base_);
    }
  }

  const WireFormat format_ = platform::PlatformFormat();
  SteadyClock clock_;
  WallClock wallClock_;
  event_base* base_ = nullptr;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<OneTarget> targets_;
  std::unique_ptr<TwoVms> vms_;
  std::unique_ptr<JobsNode> node_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MovedVmsTest);

} // namespace coltsfootshed
