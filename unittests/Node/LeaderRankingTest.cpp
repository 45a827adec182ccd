/// \file
/// Which entry VM leads a vacant duty. Guards against duties that stay on VMs
/// of an eighth of a core while larger ones are idle
/// (demands/faellesruten-grown, trouble-2: such leaders took 25 s for a
/// backlog).

#include "coltsfootshed/Node/LeaderRanking.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace coltsfootshed {

class LeaderRankingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaderRankingTest);
  CPPUNIT_TEST(CandidatesAreRanked);
  CPPUNIT_TEST(VacantDutiesGoToLargeVmsFirst);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double kLarge = 0.5;
  static constexpr double kSmall = 0.12;

public:
  void CandidatesAreRanked()
  {
    struct Row
    {
      LeaderCandidate left_;
      LeaderCandidate right_;
      const char* best_;
    };
    const Row rows[] = {
      // A VM with more room, and of equal ones that which leads less.
      { { "a", kLarge, 200 }, { "b", kSmall, 10 }, "a" },
      { { "a", kLarge, 200, 1 }, { "b", kLarge, 200, 0 }, "b" },
      // A large VM carries two more duties before a small one its first.
      { { "a", kLarge, 200, 2 }, { "b", kSmall, 10 }, "a" },
      // The last leader among equals, also with another duty.
      { { "a", kLarge, 200, 1, true }, { "b", kLarge, 200 }, "a" },
      { { "a", kLarge, 200 }, { "b", kLarge, 200, 0, true }, "b" },
      // It has no right to a duty that another can carry far better.
      { { "a", kSmall, 10, 0, true }, { "b", kLarge, 200 }, "b" },
      // A full core behind a narrow link has the room of the link.
      { { "a", 1.0, 10 }, { "b", kLarge, 200 }, "b" },
      // A bandwidth that is not known limits nothing.
      { { "a", 1.0, 0 }, { "b", kLarge, 200 }, "a" },
    };
    for (const Row& row : rows) {
      auto ranking = RankCandidates("duty", { row.left_, row.right_ });
      CPPUNIT_ASSERT_EQUAL(std::string(row.best_), ranking.front());
    }
  }

  /// All entry VMs lost power; five duties are vacant, and small VMs led all of
  /// them last.
  void VacantDutiesGoToLargeVmsFirst()
  {
    std::map<std::string, int> duties;
    for (int duty = 0; duty < 5; ++duty) {
      std::vector<LeaderCandidate> candidates;
      for (int i = 0; i < 6; ++i) {
        std::string name = "large-" + std::to_string(i);
        candidates.push_back({ name, kLarge, 200, duties[name] });
      }
      for (int i = 0; i < 35; ++i) {
        std::string name = "small-" + std::to_string(i);
        candidates.push_back({ name, kSmall, 10, duties[name], i == duty });
      }
      ++duties[RankCandidates("duty-" + std::to_string(duty), candidates)
                 .front()];
    }
    for (const auto& [name, count] : duties) {
      CPPUNIT_ASSERT(count == 0 || name.starts_with("large"));
      CPPUNIT_ASSERT(count <= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderRankingTest);

} // namespace coltsfootshed
