/// \file
/// Tests what a VM may conclude from having reached the store.

#include "coltsfootshed/Node/StoreOutageDetector.h"
#include "Support/FakeStore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

namespace coltsfootshed {

class StoreOutageDetectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreOutageDetectorTest);
  CPPUNIT_TEST(OnlyALongMemberThatReachedTheStoreWasKnown);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    base_ = event_base_new();
    store_ = std::make_unique<FakeStore>(base_);
    LeaderElection::Options options;
    options.node_ = "vm1";
    options.peers_ = { "127.0.0.1", 9 };
    election_ = std::make_unique<LeaderElection>(
      base_,
      clock_,
      *store_,
      options,
      [](const std::string&, Revision) {},
      [](const std::string&) { return false; });
    detector_ = std::make_unique<StoreOutageDetector>(
      base_, clock_, *election_, "vm1", [] {});
  }
  void tearDown() override
  {
    detector_.reset();
    election_.reset();
    store_.reset();
    event_base_free(base_);
  }

  /// TWICE: a predecessor that does not know this VM, or was told by it that
  /// the store is unreachable, may go on for longer than its leases.
  void OnlyALongMemberThatReachedTheStoreWasKnown()
  {
    constexpr Millis kFar{ 30000 }; ///< longer than this test takes
    auto wasKnown = [this] {
      return detector_->WasKnownToPredecessorsOf(clock_.Now(), Millis(0));
    };
    RunUntil([this] { return election_->TimeAsMember() > Millis(0); });
    CPPUNIT_ASSERT(!wasKnown());
    RunUntil(wasKnown);
    // The time until a take-over and the extension count, too.
    CPPUNIT_ASSERT(
      !detector_->WasKnownToPredecessorsOf(clock_.Now() - kFar, Millis(0)));
    CPPUNIT_ASSERT(!detector_->WasKnownToPredecessorsOf(clock_.Now(), kFar));
    store_->silent_ = true;
    RunUntil([this] { return !detector_->AnswerToPeer(); });
    CPPUNIT_ASSERT(!wasKnown());
    store_->silent_ = false;
    RunUntil([this] { return detector_->AnswerToPeer(); });
    CPPUNIT_ASSERT(!wasKnown());
  }

private:
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
  event_base* base_ = nullptr;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<LeaderElection> election_;
  std::unique_ptr<StoreOutageDetector> detector_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreOutageDetectorTest);

} // namespace coltsfootshed
