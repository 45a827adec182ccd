/// \file
/// Tests leader election with an in-memory store.

#include "coltsfootshed/Node/LeaderElection.h"
#include "coltsfootshed/Store/Keys.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

namespace coltsfootshed {

namespace {

/// Answers every call after one millisecond. A watch does not wait for events:
/// it answers with an empty list if nothing changed, or never if watchesHang_
/// is set.
class FakeStore final : public KeyValueStore
{
public:
  explicit FakeStore(event_base* aBase)
    : base_(aBase)
  {
  }

  void Get(std::string_view aKey, OnItem aOnItem) override
  {
    auto found = items_.find(std::string(aKey));
    std::optional<StoreItem> item;
    if (found != items_.end()) {
      item = found->second;
    }
    Later([item, onItem = std::move(aOnItem)] { onItem(item); });
  }
  void Range(std::string_view aPrefix,
             std::string_view,
             OnPage aOnPage) override
  {
    StorePage page;
    for (const auto& [key, item] : items_) {
      if (key.starts_with(aPrefix)) {
        page.items_.push_back(item);
      }
    }
    page.asOf_ = revision_;
    Later([page, onPage = std::move(aOnPage)] { onPage(page); });
  }
  void Watch(std::string_view aPrefix,
             Revision aAfter,
             Millis,
             OnEvents aOnEvents) override
  {
    if (watchesHang_) {
      return;
    }
    StoreEvents events;
    for (const StoreEvent& event : history_) {
      bool wanted =
        event.item_.revision_ > aAfter && event.item_.key_.starts_with(aPrefix);
      if (wanted) {
        events.events_.push_back(event);
      }
    }
    events.asOf_ = revision_;
    Later([events, onEvents = std::move(aOnEvents)] { onEvents(events); });
  }
  void Commit(const Transaction& aTransaction, OnCommit aOnCommit) override
  {
    CommitResult result;
    result.end_ = CommitEnd::Committed;
    for (const StoreCondition& condition : aTransaction.conditions_) {
      auto found = items_.find(condition.key_);
      Revision now = found == items_.end() ? 0 : found->second.revision_;
      if (now != condition.revision_) {
        result.end_ = CommitEnd::ConditionFailed;
      }
    }
    if (result.end_ == CommitEnd::Committed) {
      result.revision_ = ++revision_;
      for (const StorePut& put : aTransaction.puts_) {
        Put(put.key_, put.value_, put.lease_);
      }
    }
    Later([result, onCommit = std::move(aOnCommit)] { onCommit(result); });
  }
  void GrantLease(Millis, OnLease aOnLease) override
  {
    LeaseId lease = ++lastLease_;
    Later([lease, onLease = std::move(aOnLease)] { onLease(lease); });
  }
  void KeepLease(LeaseId aLease, OnKeep aOnKeep) override
  {
    KeepEnd end = ended_.count(aLease) > 0 ? KeepEnd::Gone : KeepEnd::Kept;
    Later([end, onKeep = std::move(aOnKeep)] { onKeep(end); });
  }
  void EndLease(LeaseId aLease, std::function<void()> aOnEnd) override
  {
    Expire(aLease);
    Later(std::move(aOnEnd));
  }

  void Put(const std::string& aKey, const std::string& aValue, LeaseId aLease)
  {
    StoreItem item{ aKey, aValue, revision_, revision_, aLease };
    items_[aKey] = item;
    history_.push_back({ item, false });
  }
  void Expire(LeaseId aLease)
  {
    ended_.insert(aLease);
    ++revision_;
    std::erase_if(items_, [&](const auto& aEntry) {
      if (aEntry.second.lease_ != aLease) {
        return false;
      }
      StoreEvent event;
      event.item_.key_ = aEntry.first;
      event.item_.revision_ = revision_;
      event.deleted_ = true;
      history_.push_back(event);
      return true;
    });
  }

  std::map<std::string, StoreItem> items_;
  std::set<LeaseId> ended_;
  LeaseId lastLease_ = 100; ///< the first lease that is granted is 101
  Revision revision_ = 1;
  bool watchesHang_ = false;

private:
  void Later(std::function<void()> aFunction)
  {
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = std::make_unique<Timer>(base_, std::move(aFunction));
    (*timer)->Start(Millis(1));
    timers_.push_back(timer);
  }

  event_base* base_;
  std::vector<StoreEvent> history_;
  std::vector<std::shared_ptr<std::unique_ptr<Timer>>> timers_;
};

} // namespace

class LeaderElectionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaderElectionTest);
  CPPUNIT_TEST(LeadsAVacantDuty);
  CPPUNIT_TEST(DoesNotContinueLeadershipOfAnEarlierProcess);
  CPPUNIT_TEST(LostLeaseEndsLeadership);
  CPPUNIT_TEST(LostLeaseEndsLeadershipWithoutWatch);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    base_ = event_base_new();
    store_ = std::make_unique<FakeStore>(base_);
    duties_.clear();
  }
  void tearDown() override
  {
    election_.reset();
    store_.reset();
    event_base_free(base_);
  }

  void LeadsAVacantDuty()
  {
    Start();
    RunUntil([this] { return duties_.count("a") > 0; });
    CPPUNIT_ASSERT_EQUAL(store_->items_.at(keys::Leader("a")).revision_,
                         duties_.at("a"));
  }

  /// The leader's key of a killed process names the same VM. A new process that
  /// continued its leadership would assign the same run numbers again.
  void DoesNotContinueLeadershipOfAnEarlierProcess()
  {
    store_->Put(keys::Leader("a"), "vm1", 7);
    Revision before = store_->items_.at(keys::Leader("a")).revision_;
    Start();
    RunUntil([this] { return duties_.count("a") > 0; });
    CPPUNIT_ASSERT(duties_.at("a") > before);
    CPPUNIT_ASSERT(store_->ended_.count(7) == 1);
  }

  void LostLeaseEndsLeadership()
  {
    Start();
    RunUntil([this] { return duties_.count("a") > 0; });
    Revision before = duties_.at("a");
    store_->Expire(101);
    RunUntil([&] { return duties_.at("a") != before; });
    // The VM leads again with a higher revision, never with the old one.
    RunUntil([&] { return duties_.at("a") > before; });
  }

  /// Leaderships under a lost lease end even if no watch reports it, so that a
  /// new lease does not confirm them.
  void LostLeaseEndsLeadershipWithoutWatch()
  {
    Start();
    RunUntil([this] { return duties_.count("a") > 0; });
    store_->watchesHang_ = true;
    store_->Expire(101);
    RunUntil([this] { return store_->lastLease_ > 101; });
    CPPUNIT_ASSERT_EQUAL(Revision(0), duties_.at("a"));
  }

private:
  void Start()
  {
    election_ = std::make_unique<LeaderElection>(
      base_,
      clock_,
      *store_,
      LeaderElection::Options{ "vm1", { "10.0.0.1", 7000 }, 1.0, Millis(1000) },
      [this](const std::string& aDuty, Revision aRevision) {
        duties_[aDuty] = aRevision;
      });
    election_->SetDuties({ "a" });
  }

  template<typename Condition>
  void RunUntil(const Condition& aCondition)
  {
    constexpr Millis kLimit{ 20000 }; ///< far more than a busy machine needs
    Millis end = clock_.Now() + kLimit;
    while (!aCondition()) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      event_base_loop(base_, EVLOOP_ONCE);
    }
  }

  SteadyClock clock_;
  event_base* base_ = nullptr;
  std::unique_ptr<FakeStore> store_;
  std::map<std::string, Revision> duties_;
  std::unique_ptr<LeaderElection> election_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderElectionTest);

} // namespace coltsfootshed
