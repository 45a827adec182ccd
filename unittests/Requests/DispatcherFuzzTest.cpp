/// \file
/// Stateful fuzzing of the dispatcher under refused and broken connections,
/// silent targets and late answers. An oracle compares what ran with the
/// outcomes that callers got.

#include "Requests/DispatcherWorld.h"
#include "Support/FuzzEvent.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

namespace coltsfootshed {

static constexpr EventKind<DispatcherWorld> kEvents[] = {
  { "Offer", &DispatcherWorld::Offer },
  { "RefuseConnect", &DispatcherWorld::RefuseConnect },
  { "Deliver", &DispatcherWorld::Deliver },
  { "Run", &DispatcherWorld::Run },
  { "Answer", &DispatcherWorld::Answer },
  { "Break", &DispatcherWorld::Break },
  { "DeclareNotRun", &DispatcherWorld::DeclareNotRun },
  { "GoSilent", &DispatcherWorld::GoSilent },
  { "AnswerLeaving", &DispatcherWorld::AnswerLeaving },
  { "ListVm", &DispatcherWorld::ListVm },
  { "EndHandover", &DispatcherWorld::EndHandover },
  { "DisconnectCaller", &DispatcherWorld::DisconnectCaller },
  { "AnswerProbes", &DispatcherWorld::AnswerProbes },
  { "AdvanceTime", &DispatcherWorld::AdvanceTime },
};

/// Indexes into kEvents of frequent events, mostly offers, deliveries and runs:
/// half of all draws choose among these, the other half among all events.
static constexpr std::size_t kFrequent[] = { 0, 0, 0, 2, 2, 3, 3, 4, 10 };

static std::span<const EventKind<DispatcherWorld>> FuzzEventsOf(
  DispatcherWorld*)
{
  return kEvents;
}

static std::size_t DrawEvent(DispatcherWorld*)
{
  std::vector<std::size_t> frequent(std::begin(kFrequent), std::end(kFrequent));
  return *rc::gen::oneOf(rc::gen::elementOf(frequent),
                         rc::gen::inRange<std::size_t>(0, std::size(kEvents)));
}

class DispatcherFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DispatcherFuzzTest);
  CPPUNIT_TEST(InvariantsHold);
  CPPUNIT_TEST(OracleCatchesEachMutant);
  CPPUNIT_TEST_SUITE_END();

public:
  void InvariantsHold()
  {
    bool held = rc::check("requests under failure", [] {
      DispatcherWorld world;
      rc::state::check(
        NoModel(),
        world,
        rc::state::gen::execOneOfWithArgs<FuzzEvent<DispatcherWorld>>());
      world.Drain();
      RC_ASSERT(world.Violation() == "");
    });
    std::cerr << "fuzz steps: " << FuzzEvent<DispatcherWorld>::steps << "\n";
    CPPUNIT_ASSERT(held);
  }

  /// Guards against an oracle that cannot fail: each mutant must violate a
  /// guarantee in one of the rounds.
  void OracleCatchesEachMutant()
  {
    for (DispatcherMutant mutant : { DispatcherMutant::BrokenIsNotSent,
                                     DispatcherMutant::RanIsRefused,
                                     DispatcherMutant::SwappedAnswers,
                                     DispatcherMutant::LeavingHeaderDropped,
                                     DispatcherMutant::HandoverIsRefused }) {
      CPPUNIT_ASSERT(IsCaught(mutant));
    }
  }

private:
  static bool IsCaught(DispatcherMutant aMutant)
  {
    constexpr unsigned kMaxRounds = 200;
    constexpr unsigned kEventsPerRound = 300;
    std::mt19937 random(1);
    for (unsigned round = 0; round < kMaxRounds; ++round) {
      DispatcherWorld world(aMutant);
      for (unsigned i = 0; i < kEventsPerRound; ++i) {
        std::size_t kind = random() % 2 == 0
                             ? kFrequent[random() % std::size(kFrequent)]
                             : random() % std::size(kEvents);
        kEvents[kind].Apply(world, random() % 1000);
      }
      world.Drain();
      if (!world.Violation().empty()) {
        return true;
      }
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherFuzzTest);

} // namespace coltsfootshed
