/// \file
/// Stateful fuzzing of fleet controllers. Two per data centre run at once and
/// may be replaced at any step, with lost, delayed and stale reads and writes,
/// changing documents, VM failures and requests in flight.

#include "Fleet/FleetWorld.h"
#include "Support/FuzzEvent.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

namespace coltsfootshed {

static constexpr EventKind<FleetWorld> kEvents[] = {
  { "RunController", &FleetWorld::RunController },
  { "DeliverRead", &FleetWorld::DeliverRead },
  { "LearnRecords", &FleetWorld::LearnRecords },
  { "StartRequest", &FleetWorld::StartRequest },
  { "EndRequest", &FleetWorld::EndRequest },
  { "ApplyDelayed", &FleetWorld::ApplyDelayed },
  { "ReplaceController", &FleetWorld::ReplaceController },
  { "NewDocument", &FleetWorld::NewDocument },
  { "LearnDocument", &FleetWorld::LearnDocument },
  { "FailOrRepair", &FleetWorld::FailOrRepair },
  { "FinishBoots", &FleetWorld::FinishBoots },
};
/// The first five kinds of event get most of the steps.
static constexpr std::size_t kFrequent = 5;

static std::span<const EventKind<FleetWorld>> FuzzEventsOf(FleetWorld*)
{
  return kEvents;
}

static std::size_t DrawEvent(FleetWorld*)
{
  return *rc::gen::weightedOneOf<std::size_t>(
    { { 4, rc::gen::inRange<std::size_t>(0, 2) },
      { 2, rc::gen::inRange<std::size_t>(2, kFrequent) },
      { 1, rc::gen::inRange<std::size_t>(kFrequent, std::size(kEvents)) } });
}

class FleetFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetFuzzTest);
  CPPUNIT_TEST(InvariantsHold);
  CPPUNIT_TEST(InvariantsHoldInLongRuns);
  CPPUNIT_TEST(OracleCatchesEachMutant);
  CPPUNIT_TEST_SUITE_END();

  /// Runs a long random sequence of events. Returns the violated invariant, or
  /// an empty string.
  static std::string LongRun(FleetMutant aMutant, unsigned aSeed)
  {
    constexpr unsigned kEventsPerRun = 10000;
    std::mt19937 random(aSeed);
    FleetWorld world(aMutant);
    for (unsigned i = 0; i < kEventsPerRun; ++i) {
      unsigned draw = random() % 32;
      std::size_t kind = draw < 22   ? random() % 2
                         : draw < 30 ? 2 + random() % (kFrequent - 2)
                                     : kFrequent + random() % 6;
      kEvents[kind].Apply(world, random() % 1000);
      ++FuzzEvent<FleetWorld>::steps;
    }
    world.Settle();
    return world.Violation();
  }

public:
  void InvariantsHold()
  {
    bool held = rc::check("planned operations under failure", [] {
      FleetWorld world;
      rc::state::check(
        NoModel(),
        world,
        rc::state::gen::execOneOfWithArgs<FuzzEvent<FleetWorld>>());
      world.Settle();
      RC_ASSERT(world.Violation() == "");
    });
    CPPUNIT_ASSERT(held);
  }

  void InvariantsHoldInLongRuns()
  {
    constexpr unsigned kRuns = 25;
    for (unsigned seed = 1; seed <= kRuns; ++seed) {
      std::string violation = LongRun(FleetMutant::None, seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::string(), violation);
    }
    std::cerr << "fleet fuzz steps: " << FuzzEvent<FleetWorld>::steps << "\n";
  }

  /// Guards against an oracle that cannot fail: each mutant must violate an
  /// invariant in one of the runs.
  void OracleCatchesEachMutant()
  {
    constexpr unsigned kMaxRuns = 60;
    for (FleetMutant mutant : { FleetMutant::AlwaysQuiet,
                                FleetMutant::NoCompareAndSwap,
                                FleetMutant::BudgetUnread,
                                FleetMutant::FenceIgnored,
                                FleetMutant::CommandRepeated }) {
      std::string violation;
      for (unsigned seed = 1; seed <= kMaxRuns && violation.empty(); ++seed) {
        violation = LongRun(mutant, seed);
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(int(mutant)), !violation.empty());
      std::cerr << "caught: " << violation << "\n";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetFuzzTest);

} // namespace coltsfootshed
