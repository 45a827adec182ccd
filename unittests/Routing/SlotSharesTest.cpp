/// \file
/// Tests of the division of slots among entry VMs.

#include "coltsfootshed/Routing/SlotShares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace coltsfootshed {

class SlotSharesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SlotSharesTest);
  CPPUNIT_TEST(EverySlotIsGivenOutOnce);
  CPPUNIT_TEST(SharesAreMaxMinFair);
  CPPUNIT_TEST_SUITE_END();

  static Demands AnyDemands()
  {
    auto numbers = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange(0, 200)));
    Demands demands;
    for (std::int64_t number : numbers) {
      demands["n" + std::to_string(demands.size())] = number;
    }
    return demands;
  }

public:
  void EverySlotIsGivenOutOnce()
  {
    bool held = rc::check("each slot of each target is assigned once", [] {
      Demands demands = AnyDemands();
      auto targets = *rc::gen::inRange<std::size_t>(1, 12);
      std::vector<std::int64_t> given(targets, 0);
      for (const auto& [node, demand] : demands) {
        auto mine = SlotsPerTarget(demands, node, targets, 8);
        for (std::size_t i = 0; i < targets; ++i) {
          given[i] += mine[i];
        }
      }
      for (std::int64_t slots : given) {
        RC_ASSERT(slots == 8);
      }
    });
    CPPUNIT_ASSERT(held);
  }

  void SharesAreMaxMinFair()
  {
    bool held = rc::check(
      "no node gets over one slot more than a node with unmet demand", [] {
        Demands demands = AnyDemands();
        auto total = *rc::gen::inRange<std::int64_t>(0, 300);
        auto shares = MaxMinShares(demands, total);
        std::int64_t sum = 0;
        std::size_t index = 0;
        for (const auto& [node, demand] : demands) {
          std::int64_t share = shares[index++];
          sum += share;
          if (share >= demand) {
            continue;
          }
          for (std::int64_t other : shares) {
            RC_ASSERT(other <= share + 1);
          }
        }
        RC_ASSERT(sum == total);
      });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotSharesTest);

} // namespace coltsfootshed
