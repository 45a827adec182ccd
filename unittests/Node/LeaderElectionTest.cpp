/// \file
/// Tests leader election with an in-memory store.

#include "coltsfootshed/Node/LeaderElection.h"
#include "Support/FakeStore.h"
#include "coltsfootshed/Store/Keys.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

namespace coltsfootshed {

class LeaderElectionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaderElectionTest);
  CPPUNIT_TEST(LeadsAVacantDuty);
  CPPUNIT_TEST(DoesNotContinueLeadershipOfAnEarlierProcess);
  CPPUNIT_TEST(LostLeaseEndsLeadership);
  CPPUNIT_TEST(LostLeaseEndsLeadershipWithoutWatch);
  CPPUNIT_TEST(MalformedMembersAreNoMembers);
  CPPUNIT_TEST(AnOverloadedLeaderHandsItsDutyOver);
  CPPUNIT_TEST(AHandOverOutlivesASilentStore);
  CPPUNIT_TEST(NoDutyIsHandedToAVmOfItsSize);
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
    store_->silentPrefix_ = keys::kElectionPrefix;
    store_->Expire(101);
    RunUntil([this] { return store_->lastLease_ > 101; });
    CPPUNIT_ASSERT_EQUAL(Revision(0), duties_.at("a"));
  }

  /// Members are written by other versions, too.
  void MalformedMembersAreNoMembers()
  {
    const std::vector<std::string> odd = {
      R"({"peers":7,"share":1.0})",
      R"({"peers":"10.0.0.2:7000","share":"x"})",
      R"({"peers":"10.0.0.2:70000"})",
      R"({"peers":"10.0.0.2:7000","share":-1})",
      std::string(100000, '[') + std::string(100000, ']'),
      "[]",
      "\xff"
    };
    for (std::size_t i = 0; i < odd.size(); ++i) {
      store_->Change(keys::Node("odd" + std::to_string(i)), odd[i]);
    }
    store_->Change(keys::Node("vm2"), R"({"peers":"10.0.0.2:7000"})");
    Start();
    RunUntil([this] { return duties_.count("a") > 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), election_->Members().size());
    store_->Change(keys::Node("vm2"), odd[0]);
    store_->Change(keys::Node("vm3"), R"({"peers":"10.0.0.3:7000"})");
    RunUntil([this] { return election_->PeerEndpointOf("vm3").has_value(); });
    CPPUNIT_ASSERT(!election_->PeerEndpointOf("vm2").has_value());
  }

  void AnOverloadedLeaderHandsItsDutyOver()
  {
    StartSmallBeside(R"({"peers":"10.0.0.2:7000","share":9.0})");
    isOverloaded_ = true;
    RunUntil([this] { return LeaderInStore() == "vm2"; });
    // The old leader stopped before the key changed.
    CPPUNIT_ASSERT_EQUAL(Revision(0), duties_.at("a"));
    CPPUNIT_ASSERT_EQUAL(kOtherLease,
                         store_->items_.at(keys::Leader("a")).lease_);
  }

  /// The leader has stopped when it finds that the store does not answer; its
  /// key must not keep the duty from others.
  void AHandOverOutlivesASilentStore()
  {
    StartSmallBeside(R"({"peers":"10.0.0.2:7000","share":9.0})");
    store_->lateKey_ = keys::Leader("a");
    isOverloaded_ = true;
    RunUntil([this] { return duties_.at("a") == 0; });
    CPPUNIT_ASSERT_EQUAL(std::string("vm1"), LeaderInStore());
    store_->lateKey_.clear();
    RunUntil([this] { return LeaderInStore() == "vm2"; });
    CPPUNIT_ASSERT_EQUAL(Revision(0), duties_.at("a"));
  }

  void NoDutyIsHandedToAVmOfItsSize()
  {
    StartSmallBeside(R"({"peers":"10.0.0.2:7000","share":1.0})");
    isOverloaded_ = true;
    Millis end = clock_.Now() + Millis(3000);
    RunUntil([&] { return clock_.Now() >= end; });
    CPPUNIT_ASSERT_EQUAL(std::string("vm1"), LeaderInStore());
  }

private:
  static constexpr LeaseId kOtherLease = 7;

  /// Makes this VM lead, then adds vm2.
  void StartSmallBeside(const char* aMember)
  {
    Start();
    RunUntil([this] { return duties_.count("a") > 0; });
    ++store_->revision_;
    store_->Put(keys::Node("vm2"), aMember, kOtherLease);
  }
  std::string LeaderInStore() const
  {
    auto found = store_->items_.find(keys::Leader("a"));
    return found == store_->items_.end() ? "" : found->second.value_;
  }

  void Start()
  {
    election_ = std::make_unique<LeaderElection>(
      base_,
      clock_,
      *store_,
      LeaderElection::Options{ "vm1",
                               { "10.0.0.1", 7000 },
                               1.0,
                               1000.0,
                               Millis(1000),
                               Millis(1000),
                               Millis(500) },
      [this](const std::string& aDuty, Revision aRevision) {
        duties_[aDuty] = aRevision;
      },
      [this](const std::string&) { return isOverloaded_; });
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
  bool isOverloaded_ = false;
  std::unique_ptr<LeaderElection> election_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderElectionTest);

} // namespace coltsfootshed
