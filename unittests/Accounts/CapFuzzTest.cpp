/// \file
/// Fuzzing of the division of caps among services, with lost, late and
/// reordered messages and writes, changes of leaders and managers, and changed
/// caps. Guards against accounts that run more than their cap (QUOTA).

#include "Accounts/CapWorld.h"
#include "Support/FuzzEvent.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

namespace coltsfootshed {

static constexpr EventKind<CapWorld> kEvents[] = {
  { "Ask", &CapWorld::Ask },
  { "Start", &CapWorld::Start },
  { "End", &CapWorld::End },
  { "SendOrder", &CapWorld::SendOrder },
  { "DeliverOrder", &CapWorld::DeliverOrder },
  { "DeliverReport", &CapWorld::DeliverReport },
  { "Divide", &CapWorld::Divide },
  { "AnswerWrite", &CapWorld::AnswerWrite },
  { "ReadTable", &CapWorld::ReadTable },
  { "PassTime", &CapWorld::PassTime },
  { "Configure", &CapWorld::Configure },
  { "DeliverLateOrder", &CapWorld::DeliverLateOrder },
  { "LoseMessages", &CapWorld::LoseMessages },
  { "LoseWrite", &CapWorld::LoseWrite },
  { "LoseWriteAnswer", &CapWorld::LoseWriteAnswer },
  { "CarryOutLateWrite", &CapWorld::CarryOutLateWrite },
  { "ChangeLeader", &CapWorld::ChangeLeader },
  { "TargetsAnswer", &CapWorld::TargetsAnswer },
  { "ChangeManager", &CapWorld::ChangeManager },
  { "ChangeCap", &CapWorld::ChangeCap },
};

/// Indices in kEvents of the events of normal operation; they are drawn far
/// more often than failures.
static constexpr std::size_t kFrequent[] = { 0, 1, 1, 1, 1, 1, 2, 3, 3,
                                             3, 3, 4, 4, 4, 4, 5, 5, 5,
                                             5, 6, 6, 7, 7, 8, 9, 10 };

static std::span<const EventKind<CapWorld>> FuzzEventsOf(CapWorld*)
{
  return kEvents;
}

static std::size_t DrawEvent(CapWorld*)
{
  /// One draw in this many is from all events.
  constexpr unsigned kAnyEventOneIn = 6;
  if (*rc::gen::inRange(0U, kAnyEventOneIn) != 0) {
    return *rc::gen::elementOf(
      std::vector<std::size_t>(std::begin(kFrequent), std::end(kFrequent)));
  }
  return *rc::gen::inRange<std::size_t>(0, std::size(kEvents));
}

class CapFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CapFuzzTest);
  CPPUNIT_TEST(CapsHoldUnderFailure);
  CPPUNIT_TEST(CapsHoldForAMillionSteps);
  CPPUNIT_TEST(OracleCatchesEachMutant);
  CPPUNIT_TEST(AWholeCapIsSoonInOneService);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned kEventsPerRound = 1000;

public:
  void CapsHoldUnderFailure()
  {
    CPPUNIT_ASSERT(rc::check("caps under failure", [] {
      CapWorld world;
      rc::state::check(
        NoModel(),
        world,
        rc::state::gen::execOneOfWithArgs<FuzzEvent<CapWorld>>());
    }));
  }

  void CapsHoldForAMillionSteps()
  {
    constexpr unsigned kRounds = 1000;
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         FindViolation(CapMutant::None, kRounds));
  }

  /// Guards against an oracle that can never fail: each mutant must be reported
  /// as a violation.
  void OracleCatchesEachMutant()
  {
    constexpr unsigned kMaxRounds = 3000;
    for (CapMutant mutant : { CapMutant::LimitsNotKept,
                              CapMutant::LeadersMayChange,
                              CapMutant::ManagersNotFenced,
                              CapMutant::LateWritesUnchecked,
                              CapMutant::OrdersReordered,
                              CapMutant::UnconfirmedForgotten,
                              CapMutant::RunsForgotten,
                              CapMutant::LoweringIgnored }) {
      std::string violation = FindViolation(mutant, kMaxRounds);
      std::cerr << "mutant " << static_cast<int>(mutant) << ": " << violation
                << "\n";
      CPPUNIT_ASSERT(!violation.empty());
    }
  }

  /// An account that wants its whole cap in one service has 95% of it there
  /// within 500 ms, whatever happened before.
  void AWholeCapIsSoonInOneService()
  {
    std::mt19937 random(2);
    for (unsigned round = 0; round < 100; ++round) {
      CapWorld world;
      RunRound(world, random);
      CPPUNIT_ASSERT(world.ShareAfter(Millis(500)) >= kWholeCap * 95 / 100);
    }
  }

private:
  static void RunRound(CapWorld& aWorld, std::mt19937& aRandom)
  {
    constexpr unsigned kAnyEventOneIn = 6;
    for (unsigned i = 0; i < kEventsPerRound; ++i) {
      std::size_t event = aRandom() % kAnyEventOneIn == 0
                            ? aRandom() % std::size(kEvents)
                            : kFrequent[aRandom() % std::size(kFrequent)];
      kEvents[event].Apply(aWorld, aRandom() % 100000);
      if (!aWorld.Violation().empty()) {
        return;
      }
    }
  }

  static std::string FindViolation(CapMutant aMutant, unsigned aRounds)
  {
    std::mt19937 random(1);
    for (unsigned round = 0; round < aRounds; ++round) {
      CapWorld world(aMutant);
      RunRound(world, random);
      if (!world.Violation().empty()) {
        return world.Violation();
      }
    }
    return "";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapFuzzTest);

} // namespace coltsfootshed
