/// \file
/// Tests a service's leader with an in-memory store and targets.

#include "coltsfootshed/Node/ServiceLeader.h"
#include "Support/FakeStore.h"
#include "coltsfootshed/Store/Keys.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

namespace coltsfootshed {

namespace {

/// Answers holds at once and counts starts, which stay unanswered.
class EmptyTargets final : public TargetCalls
{
public:
  explicit EmptyTargets(event_base* aBase)
    : base_(aBase)
  {
  }
  void Hold(const TargetInfo& aTarget,
            const HoldOrder&,
            std::function<void(HoldAnswer)> aOnEnd) override
  {
    if (aTarget.id_ == kSilentTarget || aTarget.id_ == kOldSilentTarget) {
      return;
    }
    timers_.push_back(
      std::make_unique<Timer>(base_, [this, onEnd = std::move(aOnEnd)] {
        HoldAnswer answer;
        answer.end_ = OrderEnd::Done;
        answer.clock_ = ++clock_;
        answer.startedAt_ = 1;
        onEnd(answer);
      }));
    timers_.back()->Start(Millis(1));
  }
  void Start(const TargetInfo&,
             const StartOrder&,
             std::function<void(OrderAnswer)>) override
  {
    ++starts_;
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

  static constexpr const char* kSilentTarget = "t9";
  static constexpr const char* kOldSilentTarget = "t8";
  int starts_ = 0;

private:
  event_base* base_;
  TargetTime clock_ = 1000;
  std::vector<std::unique_ptr<Timer>> timers_;
};

} // namespace

class ServiceLeaderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServiceLeaderTest);
  CPPUNIT_TEST(AConfirmedLeaderStartsJobs);
  CPPUNIT_TEST(AuthorityIsReadAtEachDecision);
  CPPUNIT_TEST(ANewLeaderReportsTheVmsOfTheTargetsThatItWaitsFor);
  CPPUNIT_TEST(JobsAreKnownWhileTheyAreFollowed);
  CPPUNIT_TEST(SlowDecisionsLeaveTimeForOrders);
  CPPUNIT_TEST(CancelMarksWithoutAJobAreDeletedAfterAWhile);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kRetention{ 1000 };

public:
  void setUp() override
  {
    base_ = event_base_new();
    store_ = std::make_unique<FakeStore>(base_);
    targets_ = std::make_unique<EmptyTargets>(base_);
    authority_ = Authority::Confirmed;
    StartLeader();
    TargetInfo target;
    target.id_ = "t1";
    target.service_ = "s";
    target.vm_ = "v1";
    target.capacity_ = { 8000, 32768, 0 };
    leader_->RegisterTarget(target);
    RunUntil([this] {
      return leader_->IsLoaded() && leader_->State().IsReady() &&
             store_->items_.count(keys::Roster("s")) == 1;
    });
    RunFor(Millis(50)); // until the leader knows that the roster is saved
  }
  void tearDown() override
  {
    leader_.reset();
    targets_.reset();
    store_.reset();
    event_base_free(base_);
  }

  void AConfirmedLeaderStartsJobs()
  {
    AddJob();
    RunUntil([this] { return targets_->starts_ == 1; });
  }

  /// After a freeze, an event may be handled before the next check of the
  /// authority.
  void AuthorityIsReadAtEachDecision()
  {
    authority_ = Authority::Doubtful;
    AddJob();
    RunFor(Millis(500));
    CPPUNIT_ASSERT_EQUAL(0, targets_->starts_);
  }

  /// The pool manager tells a new leader which of them are gone. The roster of
  /// an earlier version names no VMs.
  void ANewLeaderReportsTheVmsOfTheTargetsThatItWaitsFor()
  {
    std::string roster = store_->items_.at(keys::Roster("s")).value_;
    CPPUNIT_ASSERT(roster.find("v1") != std::string::npos);
    std::string rows = R"([["t8","10.0.0.8:1"],["t9","10.0.0.9:1","v9"]])";
    store_->Change(keys::Roster("s"), rows);
    StartLeader();
    RunUntil([this] { return leader_->IsLoaded(); });
    auto unanswered = leader_->State().Report().unanswered_;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), unanswered.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t9"), unanswered[0].target_);
    CPPUNIT_ASSERT_EQUAL(std::string("v9"), unanswered[0].vm_);
  }

  void JobsAreKnownWhileTheyAreFollowed()
  {
    constexpr Millis kMaxAge{ 2000 };
    CPPUNIT_ASSERT(leader_->KnowsJobs(kMaxAge));
    authority_ = Authority::Doubtful;
    CPPUNIT_ASSERT(!leader_->KnowsJobs(kMaxAge));
    authority_ = Authority::Confirmed;
    store_->silentPrefix_ = keys::kWorkPrefix;
    RunFor(kMaxAge + Millis(500));
    CPPUNIT_ASSERT(!leader_->KnowsJobs(kMaxAge));
    // A count may be 2 s old. A VM that is not known may accept jobs even if no
    // known one reaches the store.
    authority_ = Authority::StoreUnreachable;
    CPPUNIT_ASSERT(leader_->KnowsJobs(kMaxAge));
    RunFor(Millis(2000));
    CPPUNIT_ASSERT(!leader_->KnowsJobs(kMaxAge));
  }

  /// A replayed backlog: each event asks for a decision that takes as long.
  void SlowDecisionsLeaveTimeForOrders()
  {
    CPPUNIT_ASSERT(DecisionDelayAfter(Millis(0)) == Millis(4));
    for (int took : { 1, 3, 8 }) {
      Millis now{ 0 };
      Millis deciding{ 0 };
      while (now < Millis(1000)) {
        now += DecisionDelayAfter(Millis(took));
        now += Millis(took);
        deciding += Millis(took);
      }
      CPPUNIT_ASSERT(deciding * 5 <= now + 5 * Millis(took));
    }
    // A start waits for a part of the time that a task takes, at most.
    CPPUNIT_ASSERT(DecisionDelayAfter(Millis(1000)) == Millis(40));
  }

  /// Clients may cancel any number of jobs that were never stored.
  void CancelMarksWithoutAJobAreDeletedAfterAWhile()
  {
    constexpr int kMarks = 40; // more than one transaction deletes
    auto mark = [](int aNumber) {
      return keys::Cancel("00000000000000" + std::to_string(10 + aNumber));
    };
    for (int i = 0; i < kMarks; ++i) {
      store_->Change(mark(i), "s");
    }
    std::string ofOtherService = keys::Cancel("00000000000000bb");
    store_->Change(ofOtherService, "t");
    auto markCount = [&] {
      int count = 0;
      for (int i = 0; i < kMarks; ++i) {
        count += static_cast<int>(store_->items_.count(mark(i)));
      }
      return count;
    };
    RunFor(kRetention / 2);
    CPPUNIT_ASSERT_EQUAL(kMarks, markCount());
    RunUntil([&] { return markCount() == 0; });
    CPPUNIT_ASSERT(store_->items_.count(ofOtherService) == 1);
    // The leader has forgotten the cancel with its mark.
    RunFor(Millis(500));
    CPPUNIT_ASSERT(leader_->State().UnmatchedCancels(Millis(0)).empty());
  }

private:
  /// Makes a leader of its own fence, in place of an earlier one.
  void StartLeader()
  {
    store_->Change(keys::Leader("s"), "vm1");
    ServiceLeader::Options options;
    options.service_ = "s";
    options.fence_ = store_->revision_;
    options.longestWatch_ = Millis(200);
    options.endedJobRetention_ = kRetention;
    options.deletionInterval_ = Millis(100);
    leader_ = std::make_unique<ServiceLeader>(
      ServiceLeader::Dependencies{ base_,
                                   clock_,
                                   wallClock_,
                                   *store_,
                                   *targets_,
                                   nullptr,
                                   [this] { return authority_; } },
      options,
      [] {});
  }

  void AddJob()
  {
    JobRecord record;
    record.id_ = "00000000000000aa";
    record.service_ = "s";
    record.queue_ = "q";
    record.acceptedAt_ = wallClock_.Now();
    record.spec_.steps_.resize(1);
    record.spec_.steps_[0].taskResources_ = { 1000, 1024, 0 };
    leader_->AddJob(record, store_->revision_ + 1);
  }

  void RunFor(Millis aTime)
  {
    Millis end = clock_.Now() + aTime;
    RunUntil([&] { return clock_.Now() >= end; });
  }

  template<typename Condition>
  void RunUntil(const Condition& aCondition)
  {
    constexpr Millis kLimit{ 20000 }; ///< far more than a busy machine needs
    Millis end = clock_.Now() + kLimit;
    while (!aCondition()) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      timeval poll{ 0, 5000 };
      event_base_loopexit(base_, &poll);
      event_base_dispatch(base_);
    }
  }

  SteadyClock clock_;
  WallClock wallClock_;
  event_base* base_ = nullptr;
  Authority authority_ = Authority::Confirmed;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<EmptyTargets> targets_;
  std::unique_ptr<ServiceLeader> leader_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceLeaderTest);

} // namespace coltsfootshed
