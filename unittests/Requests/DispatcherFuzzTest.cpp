/// \file
/// Stateful fuzzing of the dispatcher against an oracle of what ran and what
/// callers were told, under kills, cuts, freezes and late answers.

#include "Requests/World.h"
#include "Support/FuzzEvent.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

namespace coltsfootshed {

static constexpr EventKind<World> kEvents[] = {
  { "Offer", &World::Offer },
  { "RefuseConnect", &World::RefuseConnect },
  { "Deliver", &World::Deliver },
  { "Run", &World::Run },
  { "Answer", &World::Answer },
  { "Break", &World::Break },
  { "DeclareNotRun", &World::DeclareNotRun },
  { "GoSilent", &World::GoSilent },
  { "SayLeaving", &World::SayLeaving },
  { "ListVm", &World::ListVm },
  { "EndHandover", &World::EndHandover },
  { "HangUp", &World::HangUp },
  { "AnswerProbes", &World::AnswerProbes },
  { "PassTime", &World::PassTime },
};

/// Offers, deliveries and runs are as frequent as all else together.
static constexpr std::size_t kFrequent[] = { 0, 0, 0, 2, 2, 3, 3, 4, 10 };

static std::span<const EventKind<World>> FuzzEventsOf(World*)
{
  return kEvents;
}

static std::size_t DrawEvent(World*)
{
  std::vector<std::size_t> frequent(std::begin(kFrequent), std::end(kFrequent));
  return *rc::gen::oneOf(rc::gen::elementOf(frequent),
                         rc::gen::inRange<std::size_t>(0, std::size(kEvents)));
}

class DispatcherFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DispatcherFuzzTest);
  CPPUNIT_TEST(PromisesHold);
  CPPUNIT_TEST(OracleCatchesEachLie);
  CPPUNIT_TEST_SUITE_END();

public:
  void PromisesHold()
  {
    bool held = rc::check("requests under failure", [] {
      World world;
      rc::state::check(NoModel(),
                       world,
                       rc::state::gen::execOneOfWithArgs<FuzzEvent<World>>());
      world.Drain();
      RC_ASSERT(world.Violation() == "");
    });
    std::cerr << "fuzz steps: " << FuzzEvent<World>::steps << "\n";
    CPPUNIT_ASSERT(held);
  }

  /// A check that cannot fail shows here.
  void OracleCatchesEachLie()
  {
    for (Lie lie : { Lie::BrokenIsNotSent,
                     Lie::RanIsRefused,
                     Lie::SwappedAnswers,
                     Lie::LeavingUnheard,
                     Lie::HandoverIsRefused }) {
      CPPUNIT_ASSERT(IsCaught(lie));
    }
  }

private:
  static bool IsCaught(Lie aLie)
  {
    constexpr unsigned kMostRounds = 200;
    constexpr unsigned kEventsPerRound = 300;
    std::mt19937 random(1);
    for (unsigned round = 0; round < kMostRounds; ++round) {
      World world(aLie);
      for (unsigned i = 0; i < kEventsPerRound; ++i) {
        std::size_t kind = random() % 2 == 0
                             ? kFrequent[random() % std::size(kFrequent)]
                             : random() % std::size(kEvents);
        (world.*kEvents[kind].act_)(random() % 1000);
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
