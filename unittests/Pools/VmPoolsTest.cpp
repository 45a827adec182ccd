/// \file
/// Tests when a VM has certainly left a pool. A leader starts tasks again that
/// ran on such VMs, so a wrong answer runs a task twice.

#include "coltsfootshed/Pools/VmPools.h"
#include "Support/ManualClock.h"
#include "coltsfootshed/Pools/PoolPlanner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootshed {

class VmPoolsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(VmPoolsTest);
  CPPUNIT_TEST(AVmHasLeftOnceTheListShowsAnotherPool);
  CPPUNIT_TEST(VmsThatAreNotListedMayBeAnywhere);
  CPPUNIT_TEST(AnOldListShowsNothing);
  CPPUNIT_TEST(AnOrderThatIsNotListedYetMayBringTheVmBack);
  CPPUNIT_TEST(AnOrderToAThirdPoolDoesNotBringItBack);
  CPPUNIT_TEST(OrdersToSeveralPoolsLeaveItOpen);
  CPPUNIT_TEST(AConfirmedOrderSupersedesEarlierOnes);
  CPPUNIT_TEST(AnOrderToAnUnknownPoolLeavesItOpen);
  CPPUNIT_TEST(OldOrdersDoNotMatter);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    clock_ = ManualClock();
    clock_.Advance(Millis(100000));
    pools_ = std::make_unique<VmPools>(clock_);
  }

  void AVmHasLeftOnceTheListShowsAnotherPool()
  {
    List("v", "spare");
    CPPUNIT_ASSERT(pools_->HasLeft("v", "stitch"));
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "spare"));
  }

  void VmsThatAreNotListedMayBeAnywhere()
  {
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "stitch"));
    List("v", "spare");
    CPPUNIT_ASSERT(!pools_->HasLeft("w", "stitch"));
    CPPUNIT_ASSERT(!pools_->HasLeft("", "stitch"));
  }

  void AnOldListShowsNothing()
  {
    List("v", "spare");
    clock_.Advance(Millis(2501));
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "stitch"));
  }

  void AnOrderThatIsNotListedYetMayBringTheVmBack()
  {
    pools_->NoteMove("v", "stitch");
    List("v", "spare");
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "stitch"));
    List("v", "stitch");
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "stitch"));
    CPPUNIT_ASSERT(pools_->HasLeft("v", "spare"));
  }

  void AnOrderToAThirdPoolDoesNotBringItBack()
  {
    pools_->NoteMove("v", "render");
    List("v", "spare");
    CPPUNIT_ASSERT(pools_->HasLeft("v", "stitch"));
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "render"));
  }

  /// The list may be from before both orders.
  void OrdersToSeveralPoolsLeaveItOpen()
  {
    pools_->NoteMove("v", "stitch");
    pools_->NoteMove("v", "spare");
    List("v", "spare");
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "stitch"));
  }

  void AConfirmedOrderSupersedesEarlierOnes()
  {
    pools_->NoteMove("v", "stitch");
    pools_->NoteMove("v", "spare");
    pools_->ConfirmMove("v", "spare");
    List("v", "spare");
    CPPUNIT_ASSERT(pools_->HasLeft("v", "stitch"));
    // The list may be from before the confirmed order.
    List("v", "stitch");
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "stitch"));
  }

  /// As saved by a pool manager of an earlier version.
  void AnOrderToAnUnknownPoolLeavesItOpen()
  {
    pools_->NoteMove("v", "");
    List("v", "spare");
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "stitch"));
  }

  void OldOrdersDoNotMatter()
  {
    pools_->NoteMove("v", "stitch");
    clock_.Advance(Millis(3000));
    pools_->NoteMove("v", "stitch"); // may still take effect
    clock_.Advance(kVmListLag + Millis(2500));
    List("v", "spare");
    CPPUNIT_ASSERT(!pools_->HasLeft("v", "stitch"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), pools_->RecentMoves("v").size());
    clock_.Advance(Millis(1));
    CPPUNIT_ASSERT(pools_->HasLeft("v", "stitch"));
    CPPUNIT_ASSERT(pools_->RecentMoves("v").empty());
  }

private:
  /// Gives the list that is requested now.
  void List(const std::string& aVm, const std::string& aPool)
  {
    PoolVm vm;
    vm.vm_ = aVm;
    vm.pool_ = aPool;
    vm.phase_ = VmPhase::Up;
    std::vector<PoolVm> vms{ vm };
    pools_->SetVms(vms, clock_.Now());
  }

  ManualClock clock_;
  std::unique_ptr<VmPools> pools_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmPoolsTest);

} // namespace coltsfootshed
