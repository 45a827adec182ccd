/// \file
/// Tests which requests a queue evicts, sheds or drops.

#include "coltsfootshed/Admission/ServiceQueue.h"
#include "Support/ManualClock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootshed {

class ServiceQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServiceQueueTest);
  CPPUNIT_TEST(UrgentTakesThePlaceOfBackground);
  CPPUNIT_TEST(HeaviestTenantGivesUpItsNewest);
  CPPUNIT_TEST(HeaviestTenantIsShedOnArrival);
  CPPUNIT_TEST(RequestMissingItsDeadlineIsDropped);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::int64_t kLimit = 10;

  QueuedRequest Request(RequestClass aClass, const std::string& aTenant)
  {
    Millis now = clock_.Now();
    return { ++lastId_, aClass, aTenant, 1, now, now + Millis(5000), false };
  }

  /// Fills the queue with one class of one tenant.
  void Fill(RequestClass aClass, const std::string& aTenant)
  {
    while (queue_.Waiting() < kLimit) {
      CPPUNIT_ASSERT(queue_.Offer(Request(aClass, aTenant)).queued_);
    }
  }

  ManualClock clock_;
  ServiceQueue queue_{ clock_, kLimit };
  RequestId lastId_ = 0;

public:
  void UrgentTakesThePlaceOfBackground()
  {
    // Both use one tenant, as tenants make no difference between classes. The
    // name is too long to be stored in place in a std::string, so that a memory
    // checker sees a view of a temporary copy of it.
    Fill(RequestClass::Background, "a tenant with a long name");
    AdmissionResult admission =
      queue_.Offer(Request(RequestClass::Urgent, "a tenant with a long name"));
    CPPUNIT_ASSERT(admission.queued_);
    CPPUNIT_ASSERT(admission.evicted_ == RequestId(kLimit));
  }

  void HeaviestTenantGivesUpItsNewest()
  {
    Fill(RequestClass::Standard, "heavy");
    AdmissionResult admission =
      queue_.Offer(Request(RequestClass::Standard, "light"));
    CPPUNIT_ASSERT(admission.queued_);
    CPPUNIT_ASSERT(admission.evicted_ == RequestId(kLimit));
  }

  void HeaviestTenantIsShedOnArrival()
  {
    Fill(RequestClass::Standard, "heavy");
    AdmissionResult admission =
      queue_.Offer(Request(RequestClass::Standard, "heavy"));
    CPPUNIT_ASSERT(!admission.queued_);
    CPPUNIT_ASSERT(!admission.evicted_);
    CPPUNIT_ASSERT_EQUAL(kLimit, queue_.Waiting());
  }

  void RequestMissingItsDeadlineIsDropped()
  {
    queue_.Offer(Request(RequestClass::Standard, "t"));
    clock_.Advance(Millis(4999));
    queue_.SetSlots(1);
    std::vector<RequestId> dropped;
    CPPUNIT_ASSERT(!queue_.TakeNext(dropped));
    CPPUNIT_ASSERT(dropped == std::vector<RequestId>{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), queue_.Running());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceQueueTest);

} // namespace coltsfootshed
