/// \file
/// Stateful fuzzing of schedulers against an oracle, with lost, late and
/// reordered orders, restarted targets, failed saves, and successors.

#include "Scheduling/SchedulerWorld.h"
#include "Support/FuzzEvent.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

namespace coltsfootshed {

static constexpr EventKind<SchedulerWorld> kEvents[] = {
  { "Submit", &SchedulerWorld::Submit },
  { "SubmitGang", &SchedulerWorld::SubmitGang },
  { "Cancel", &SchedulerWorld::Cancel },
  { "Decide", &SchedulerWorld::Decide },
  { "Deliver", &SchedulerWorld::Deliver },
  { "Answer", &SchedulerWorld::Answer },
  { "LoseCall", &SchedulerWorld::LoseCall },
  { "LoseAnswer", &SchedulerWorld::LoseAnswer },
  { "RefuseConnect", &SchedulerWorld::RefuseConnect },
  { "ExecuteLate", &SchedulerWorld::ExecuteLate },
  { "PassTime", &SchedulerWorld::PassTime },
  { "FailRun", &SchedulerWorld::FailRun },
  { "RestartTarget", &SchedulerWorld::RestartTarget },
  { "TakeOver", &SchedulerWorld::TakeOver },
  { "FailSave", &SchedulerWorld::FailSave },
  { "Vacate", &SchedulerWorld::Vacate },
};

/// Indices in kEvents of the events of normal operation; they are drawn far
/// more often than failures.
static constexpr std::size_t kFrequent[] = { 0, 3, 3, 3, 4, 4,  4,
                                             4, 5, 5, 5, 5, 10, 10 };

static constexpr std::size_t kFailRun = 11; ///< index in kEvents

static std::span<const EventKind<SchedulerWorld>> FuzzEventsOf(SchedulerWorld*)
{
  return kEvents;
}

static std::size_t DrawEvent(SchedulerWorld*)
{
  /// One draw in this many is from all events.
  constexpr unsigned kAnyEventOneIn = 5;
  if (*rc::gen::inRange(0U, kAnyEventOneIn) != 0) {
    return *rc::gen::elementOf(
      std::vector<std::size_t>(std::begin(kFrequent), std::end(kFrequent)));
  }
  return *rc::gen::inRange<std::size_t>(0, std::size(kEvents));
}

class SchedulerFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SchedulerFuzzTest);
  CPPUNIT_TEST(InvariantsHold);
  CPPUNIT_TEST(OracleCatchesEachMutant);
  CPPUNIT_TEST_SUITE_END();

public:
  void InvariantsHold()
  {
    bool passed = rc::check("jobs under failure", [] {
      SchedulerWorld world;
      rc::state::check(
        NoModel(),
        world,
        rc::state::gen::execOneOfWithArgs<FuzzEvent<SchedulerWorld>>());
      world.Drain();
      RC_ASSERT(world.Violation() == "");
    });
    std::cerr << "fuzz steps: " << FuzzEvent<SchedulerWorld>::steps << "\n";
    CPPUNIT_ASSERT(passed);
  }

  /// Guards against oracle checks that can never fail: each mutant must be
  /// reported as a violation.
  void OracleCatchesEachMutant()
  {
    for (SchedulerMutant mutant : { SchedulerMutant::SavesAreLost,
                                    SchedulerMutant::FencesIgnored,
                                    SchedulerMutant::RunsHidden,
                                    SchedulerMutant::CapacityDoubled,
                                    SchedulerMutant::EndsInvented,
                                    SchedulerMutant::FailuresForgotten,
                                    SchedulerMutant::IncarnationsIgnored }) {
      std::string violation = FindViolation(mutant);
      std::cerr << "mutant " << static_cast<int>(mutant) << ": " << violation
                << "\n";
      CPPUNIT_ASSERT(!violation.empty());
    }
  }

private:
  static std::string FindViolation(SchedulerMutant aMutant)
  {
    constexpr unsigned kMaxRounds = 3000;
    constexpr unsigned kEventsPerRound = 400;
    /// One draw in this many is a failed run or from all events.
    constexpr unsigned kAnyEventOneIn = 3;
    std::mt19937 random(1);
    for (unsigned round = 0; round < kMaxRounds; ++round) {
      SchedulerWorld world(aMutant);
      for (unsigned i = 0; i < kEventsPerRound; ++i) {
        std::size_t event = kFrequent[random() % std::size(kFrequent)];
        if (random() % kAnyEventOneIn == 0) {
          bool failRun = random() % 2 == 0;
          event = failRun ? kFailRun : random() % std::size(kEvents);
        }
        kEvents[event].Apply(world, random() % 1000);
        if (!world.Violation().empty()) {
          return world.Violation();
        }
      }
    }
    return "";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerFuzzTest);

} // namespace coltsfootshed
