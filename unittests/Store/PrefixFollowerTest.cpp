/// \file
/// Tests that a follower learns of changes in time after the store was silent.

#include "coltsfootshed/Store/PrefixFollower.h"
#include "Support/FakeStore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

namespace coltsfootshed {

namespace {

class LastValue final : public PrefixListener
{
public:
  void OnSnapshot(std::vector<StoreItem> aItems) override
  {
    for (const StoreItem& item : aItems) {
      value_ = item.value_;
    }
  }
  void OnEvent(const StoreEvent& aEvent) override
  {
    value_ = aEvent.item_.value_;
  }

  std::string value_;
};

} // namespace

class PrefixFollowerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PrefixFollowerTest);
  CPPUNIT_TEST(WatchRepeatedDuringASilenceDoesNotOutlastIt);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { base_ = event_base_new(); }
  void tearDown() override { event_base_free(base_); }

  /// Incident CONFIG: a watch was repeated just before the store answered
  /// again, got no answer, and kept the VM on its old configuration.
  void WatchRepeatedDuringASilenceDoesNotOutlastIt()
  {
    /// Within this time after a disruption, a VM is expected to keep all
    /// bounds.
    constexpr Millis kContactTime{ 3000 };
    FakeStore store(base_);
    LastValue seen;
    store.Change("op/config", "old");
    PrefixFollower follower(
      base_, clock_, store, seen, { "op/", Millis(2000) }, 1);
    RunUntil([&] { return store.watches_ > 0; });
    store.silent_ = true;
    RunUntil([&] { return store.unansweredWatches_ > 1; });
    store.silent_ = false;
    Millis deadline = clock_.Now() + kContactTime;
    store.Change("op/config", "new");
    RunUntil([&] { return seen.value_ == "new" || clock_.Now() >= deadline; });
    CPPUNIT_ASSERT_EQUAL(std::string("new"), seen.value_);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixFollowerTest);

} // namespace coltsfootshed
