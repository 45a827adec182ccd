/// \file
/// Tests of the tables of VMs and peers.

#include "Support/ManualClock.h"
#include "coltsfootshed/Membership/PeerTable.h"
#include "coltsfootshed/Membership/VmTable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace coltsfootshed {

class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(LeavingMarkHoldsUntilANewerRecord);
  CPPUNIT_TEST(ReportIsValidUntilItsLeaseEnds);
  CPPUNIT_TEST(TwoNodesPerDataCentreAreWatchers);
  CPPUNIT_TEST_SUITE_END();

  static NodeReport Report(const std::string& aNode,
                           const std::string& aDataCentre,
                           std::int64_t aDemand)
  {
    NodeReport report;
    report.self_ = { aNode, aDataCentre, { "127.0.0.1", 1 } };
    report.loads_["x"] = { aDemand, 0 };
    return report;
  }

public:
  /// Records and marks arrive in any order, also twice. The one with the
  /// highest revision must decide; a mark wins over a record of its own
  /// revision.
  void LeavingMarkHoldsUntilANewerRecord()
  {
    bool passed = rc::check("leaving until a newer record", [] {
      VmTable table;
      std::uint64_t newest = 0;
      bool newestLeaves = false;
      std::int64_t mark = -1;
      for (int step = 0; step < 30; ++step) {
        auto revision = *rc::gen::inRange<std::uint64_t>(1, 8);
        if (*rc::gen::inRange(0, 3) == 0) {
          bool applies = newest <= revision;
          table.MergeMark({ "v", revision });
          mark = applies ? std::max(mark, std::int64_t(revision)) : mark;
        } else {
          // A revision has the same content whenever it is read.
          bool leaves = revision % 3 == 0;
          VmRecord record;
          record.name_ = "v";
          record.revision_ = revision;
          record.leaving_ = leaves;
          table.MergeList({ &record, 1 });
          if (revision > newest) {
            newest = revision;
            newestLeaves = leaves;
          }
          mark = std::int64_t(newest) > mark ? -1 : mark;
        }
        RC_ASSERT(table.IsLeaving("v") == (mark >= 0 || newestLeaves));
      }
    });
    CPPUNIT_ASSERT(passed);
  }

  void ReportIsValidUntilItsLeaseEnds()
  {
    ManualClock clock;
    PeerTable table(clock, { "me", "a", { "127.0.0.1", 2 } });
    table.Merge(Report("you", "a", 7));
    clock.Advance(PeerTable::kReportLifetime - Millis(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), table.LocalDemands("x", 1)["you"]);
    clock.Advance(Millis(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.LocalDemands("x", 1).size());
  }

  void TwoNodesPerDataCentreAreWatchers()
  {
    ManualClock clock;
    std::vector<std::string> names = { "n1", "n2", "n3", "n4", "n5" };
    int watchers = 0;
    for (const std::string& self : names) {
      PeerTable table(clock, { self, "a", { "127.0.0.1", 2 } });
      for (const std::string& other : names) {
        table.Merge(Report(other, "a", 0));
      }
      table.Merge(Report("remote", "b", 0));
      watchers += table.IsWatcher() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, watchers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace coltsfootshed
