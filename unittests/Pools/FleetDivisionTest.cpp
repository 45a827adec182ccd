/// \file
/// Tests how a fleet is divided between pools.

#include "coltsfootshed/Pools/FleetDivision.h"

#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <rapidcheck.h>

namespace coltsfootshed {

class FleetDivisionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetDivisionTest);
  CPPUNIT_TEST(PoolsGetAllTheyNeedIfThereIsEnough);
  CPPUNIT_TEST(WorkInTimeComesBeforeLateWork);
  CPPUNIT_TEST(ExpectedWorkTakesNothingFromPresentWork);
  CPPUNIT_TEST(PoolsThatLackVmsGetEqualParts);
  CPPUNIT_TEST(NoVmIsLostOrGrantedTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  using Parts = std::vector<int>;

  void PoolsGetAllTheyNeedIfThereIsEnough()
  {
    std::vector<PoolDemand> demands = { { 1, 2, 3, 4 }, { 0, 0, 6, 6 } };
    CPPUNIT_ASSERT((Parts{ 4, 6 }) == DivideFleet(demands, 11));
  }

  void WorkInTimeComesBeforeLateWork()
  {
    std::vector<PoolDemand> demands = { { 1, 1, 90, 90 }, { 1, 8, 8, 8 } };
    CPPUNIT_ASSERT((Parts{ 2, 8 }) == DivideFleet(demands, 10));
  }

  void ExpectedWorkTakesNothingFromPresentWork()
  {
    std::vector<PoolDemand> demands = { { 0, 0, 0, 900 }, { 0, 3, 7, 7 } };
    CPPUNIT_ASSERT((Parts{ 3, 7 }) == DivideFleet(demands, 10));
  }

  void PoolsThatLackVmsGetEqualParts()
  {
    std::vector<PoolDemand> demands = { { 0, 50, 50, 50 },
                                        { 0, 2, 2, 2 },
                                        { 0, 500, 500, 500 } };
    CPPUNIT_ASSERT((Parts{ 9, 2, 9 }) == DivideFleet(demands, 20));
  }

  void NoVmIsLostOrGrantedTwice()
  {
    bool passed = rc::check("all VMs that are needed are granted once", [] {
      auto steps = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 40)));
      int vms = *rc::gen::inRange(0, 200);
      std::vector<PoolDemand> demands;
      int needed = 0;
      for (const std::vector<int>& step : steps) {
        PoolDemand demand;
        demand.longRunning_ = step[0];
        demand.inTime_ = demand.longRunning_ + step[1];
        demand.present_ = demand.inTime_ + step[2];
        demand.expected_ = demand.present_ + step[3];
        needed += demand.expected_;
        demands.push_back(demand);
      }
      Parts parts = DivideFleet(demands, vms);
      RC_ASSERT(std::accumulate(parts.begin(), parts.end(), 0) ==
                std::min(needed, vms));
      for (std::size_t i = 0; i < parts.size(); ++i) {
        RC_ASSERT(parts[i] >= 0);
        RC_ASSERT(parts[i] <= demands[i].expected_);
      }
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDivisionTest);

} // namespace coltsfootshed
