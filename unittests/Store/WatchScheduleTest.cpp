/// \file
/// Plays watches against a store that loses calls, on a logical clock.

#include "coltsfootshed/Store/WatchSchedule.h"
#include "Support/ManualClock.h"
#include "coltsfootshed/Node/StoreTimeouts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace coltsfootshed {

namespace {

/// What an installation promises, and how slow its store is.
struct Installation
{
  Millis contactTime_;
  Millis maxAge_;
  Millis slowestAnswer_;
};

/// From begin_ to end_ the store answers no calls, and those that are waiting
/// are lost. If both are equal, only the waiting calls are lost.
struct Disruption
{
  Millis begin_;
  Millis end_;
};

} // namespace

class WatchScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WatchScheduleTest);
  CPPUNIT_TEST(KnowledgeIsYoungWhenDisruptionsAreOver);
  CPPUNIT_TEST_SUITE_END();

public:
  void KnowledgeIsYoungWhenDisruptionsAreOver()
  {
    constexpr Installation kInstallations[] = {
      { Millis(3000), Millis(2000), Millis(200) },
      { Millis(4000), Millis(3000), Millis(200) },
      { Millis(1500), Millis(1000), Millis(50) },
      { Millis(8000), Millis(2000), Millis(200) },
    };
    constexpr unsigned kSeeds = 300;
    for (const Installation& installation : kInstallations) {
      for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        Millis worst = WorstAge(installation, seed);
        CPPUNIT_ASSERT_MESSAGE(
          "contact time " + std::to_string(installation.contactTime_.count()) +
            ", seed " + std::to_string(seed) + ": " +
            std::to_string(worst.count()) + " ms old",
          worst <= installation.maxAge_);
      }
    }
  }

private:
  static Millis Draw(std::mt19937& aRandom, Millis aMost)
  {
    return Millis(aRandom() % static_cast<unsigned>(aMost.count() + 1));
  }

  /// Returns the greatest age of the known content at any time at which the
  /// last disruption ended at least the contact time ago.
  static Millis WorstAge(const Installation& aInstallation, unsigned aSeed)
  {
    constexpr Millis kStep{ 10 };
    constexpr Millis kLongestGap{ 7000 };
    constexpr Millis kLongestSilence{ 4000 };
    constexpr unsigned kDisruptions = 8;
    std::mt19937 random(aSeed);
    ManualClock clock;
    std::vector<Disruption> disruptions;
    Millis end = clock.Now() + aInstallation.contactTime_;
    for (unsigned i = 0; i < kDisruptions; ++i) {
      Millis begin = end + Draw(random, kLongestGap);
      bool onlyConnections = random() % 3 == 0;
      end =
        begin + (onlyConnections ? Millis(0) : Draw(random, kLongestSilence));
      disruptions.push_back({ begin, end });
    }
    Millis playUntil = end + 2 * aInstallation.contactTime_;
    StoreTimeouts timeouts =
      StoreTimeoutsFor(aInstallation.contactTime_, aInstallation.maxAge_);
    WatchSchedule schedule(clock, timeouts.watch_, aSeed);
    schedule.OnPageSent(true);
    schedule.OnRangeRead();

    Millis worst{ 0 };
    auto advanceTo = [&](Millis aTime) {
      while (clock.Now() < aTime) {
        clock.Advance(std::min(kStep, aTime - clock.Now()));
        bool isCalm = std::none_of(
          disruptions.begin(), disruptions.end(), [&](const Disruption& aPast) {
            return aPast.begin_ <= clock.Now() &&
                   clock.Now() - aPast.end_ < aInstallation.contactTime_;
          });
        if (isCalm) {
          worst = std::max(worst, schedule.Age());
        }
      }
    };
    while (clock.Now() < playUntil) {
      Millis sent = clock.Now();
      Millis wait = schedule.OnWatchSent();
      bool hasEvents = random() % 3 == 0;
      Millis answer = sent + Draw(random, aInstallation.slowestAnswer_) +
                      (hasEvents ? Draw(random, wait) : wait);
      bool isLost = std::any_of(
        disruptions.begin(), disruptions.end(), [&](const Disruption& aAny) {
          return aAny.begin_ <= answer && sent <= aAny.end_;
        });
      advanceTo(isLost ? sent + wait + timeouts.call_ : answer);
      if (isLost) {
        advanceTo(clock.Now() + schedule.OnFailure());
      } else {
        schedule.OnAnswered();
        schedule.OnWatched(hasEvents);
      }
    }
    return worst;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchScheduleTest);

} // namespace coltsfootshed
