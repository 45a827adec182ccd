/// \file
/// Stateful fuzzing of successors that learn that targets no longer exist,
/// while their predecessors' runs go on elsewhere.

#include "Scheduling/SchedulerWorld.h"
#include "Support/FuzzEvent.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace coltsfootshed {

/// A world of its own type, as each has one table of events.
class ReplacedTargetsWorld : public SchedulerWorld
{
public:
  using SchedulerWorld::SchedulerWorld;
};

static constexpr EventKind<ReplacedTargetsWorld> kEvents[] = {
  { "Submit", &SchedulerWorld::Submit },
  { "Decide", &SchedulerWorld::Decide },
  { "Deliver", &SchedulerWorld::Deliver },
  { "Answer", &SchedulerWorld::Answer },
  { "PassTime", &SchedulerWorld::PassTime },
  { "RetireTargets", &SchedulerWorld::RetireTargets },
  { "TakeOver", &SchedulerWorld::TakeOver },
  { "ReplaceTarget", &SchedulerWorld::ReplaceTarget },
  { "RestartTarget", &SchedulerWorld::RestartTarget },
  { "LoseCall", &SchedulerWorld::LoseCall },
  { "LoseAnswer", &SchedulerWorld::LoseAnswer },
  { "RefuseConnect", &SchedulerWorld::RefuseConnect },
  { "ExecuteLate", &SchedulerWorld::ExecuteLate },
  { "FailSave", &SchedulerWorld::FailSave },
  { "Vacate", &SchedulerWorld::Vacate },
  { "Cancel", &SchedulerWorld::Cancel },
};

/// Indices in kEvents of the events of normal operation; they are drawn far
/// more often than failures.
static constexpr std::size_t kFrequent[] = { 0, 1, 1, 1, 2, 2, 2,
                                             2, 3, 3, 3, 3, 4, 4 };

static std::span<const EventKind<ReplacedTargetsWorld>> FuzzEventsOf(
  ReplacedTargetsWorld*)
{
  return kEvents;
}

static std::size_t DrawEvent(ReplacedTargetsWorld*)
{
  /// One draw in this many is from all events.
  constexpr unsigned kAnyEventOneIn = 5;
  if (*rc::gen::inRange(0U, kAnyEventOneIn) != 0) {
    return *rc::gen::elementOf(
      std::vector<std::size_t>(std::begin(kFrequent), std::end(kFrequent)));
  }
  return *rc::gen::inRange<std::size_t>(0, std::size(kEvents));
}

class ReplacedTargetsFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplacedTargetsFuzzTest);
  CPPUNIT_TEST(NoTaskRunsTwice);
  CPPUNIT_TEST(RetiringLivingTargetsIsCaught);
  CPPUNIT_TEST_SUITE_END();

public:
  void NoTaskRunsTwice()
  {
    bool passed = rc::check("targets that are replaced", [] {
      ReplacedTargetsWorld world;
      rc::state::check(
        NoModel(),
        world,
        rc::state::gen::execOneOfWithArgs<FuzzEvent<ReplacedTargetsWorld>>());
      world.Drain();
      RC_ASSERT(world.Violation() == "");
    });
    CPPUNIT_ASSERT(passed);
  }

  /// Guards against a world in which the wait for targets never matters.
  void RetiringLivingTargetsIsCaught()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), FindViolation(SchedulerMutant::None));
    CPPUNIT_ASSERT(
      !FindViolation(SchedulerMutant::LivingTargetsRetired).empty());
  }

private:
  static std::string FindViolation(SchedulerMutant aMutant)
  {
    constexpr unsigned kRounds = 300;
    constexpr unsigned kEventsPerRound = 400;
    constexpr unsigned kAnyEventOneIn = 3;
    std::mt19937 random(1);
    for (unsigned round = 0; round < kRounds; ++round) {
      ReplacedTargetsWorld world(aMutant);
      for (unsigned i = 0; i < kEventsPerRound; ++i) {
        std::size_t event = random() % kAnyEventOneIn == 0
                              ? random() % std::size(kEvents)
                              : kFrequent[random() % std::size(kFrequent)];
        kEvents[event].Apply(world, random() % 1000);
        if (!world.Violation().empty()) {
          return world.Violation();
        }
      }
    }
    return "";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacedTargetsFuzzTest);

} // namespace coltsfootshed
