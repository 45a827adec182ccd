/// \file
/// Tests the form in which entry VMs exchange pool reports.

#include "coltsfootshed/Pools/PoolPlanner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootshed {

class PoolReportTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PoolReportTest);
  CPPUNIT_TEST(AReportIsDecodedAsItWas);
  CPPUNIT_TEST(AwaitedTargetsAreReportedWithTheirVms);
  CPPUNIT_TEST(ReportsOfEarlierVersionsAreDecoded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// A pool manager that is not told which targets the saved roster names moves
  /// their VMs, and a new leader then waits for these targets.
  void AReportIsDecodedAsItWas()
  {
    PoolReport report;
    report.service_ = "s";
    report.used_ = { 1000, 2000, 0 };
    report.longRunning_ = { 300, 400, 0 };
    report.waiting_ = { 50, 60, 0 };
    report.inTime_ = { 40, 30, 0 };
    report.byLabel_["a"] = { 7, 8, 0 };
    report.byRack_["r"] = { 9, 10, 0 };
    report.arrivingCpu_ = 11;
    report.minVms_ = 12;
    report.targets_.push_back({ "t1", 3, 2, false, true, Millis(700) });
    report.targets_.push_back({ "t2", 0, 0, true, true });
    report.targets_.push_back({ "t3", 0, 0, true, false });

    auto decoded = DecodeReport(EncodeReport(report));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(report.service_, decoded->service_);
    CPPUNIT_ASSERT(AreEqual(report.used_, decoded->used_));
    CPPUNIT_ASSERT(AreEqual(report.longRunning_, decoded->longRunning_));
    CPPUNIT_ASSERT(AreEqual(report.waiting_, decoded->waiting_));
    CPPUNIT_ASSERT(AreEqual(report.inTime_, decoded->inTime_));
    CPPUNIT_ASSERT(AreEqual(report.byLabel_["a"], decoded->byLabel_["a"]));
    CPPUNIT_ASSERT(AreEqual(report.byRack_["r"], decoded->byRack_["r"]));
    CPPUNIT_ASSERT_EQUAL(report.arrivingCpu_, decoded->arrivingCpu_);
    CPPUNIT_ASSERT_EQUAL(report.minVms_, decoded->minVms_);
    CPPUNIT_ASSERT_EQUAL(report.targets_.size(), decoded->targets_.size());
    for (std::size_t i = 0; i < report.targets_.size(); ++i) {
      const TargetUse& sent = report.targets_[i];
      const TargetUse& received = decoded->targets_[i];
      CPPUNIT_ASSERT_EQUAL(sent.target_, received.target_);
      CPPUNIT_ASSERT_EQUAL(sent.runs_, received.runs_);
      CPPUNIT_ASSERT_EQUAL(sent.longRunning_, received.longRunning_);
      CPPUNIT_ASSERT_EQUAL(sent.vacating_, received.vacating_);
      CPPUNIT_ASSERT_EQUAL(sent.inRoster_, received.inRoster_);
      CPPUNIT_ASSERT_EQUAL(sent.emptyIn_.count(), received.emptyIn_.count());
    }
  }

  /// Without them the pool manager cannot tell a new leader which are gone.
  void AwaitedTargetsAreReportedWithTheirVms()
  {
    PoolReport report;
    report.unanswered_ = { { "t1", "v1" }, { "t2", "v2" } };
    auto decoded = DecodeReport(EncodeReport(report));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), decoded->unanswered_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), decoded->unanswered_[1].target_);
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), decoded->unanswered_[1].vm_);
  }

  /// They do not say whether the roster names a target, nor what is in time.
  void ReportsOfEarlierVersionsAreDecoded()
  {
    auto report = DecodeReport(
      R"({"service":"s","used":[9,8],"lasting":[4,3],"waiting":[2,1],
          "labels":[],"racks":[],"arriving":0,"least":0,
          "targets":[["t",1,0,true]]})");
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), report->targets_.size());
    CPPUNIT_ASSERT(!report->targets_[0].inRoster_);
    CPPUNIT_ASSERT(AreEqual({ 7, 6, 0 }, report->inTime_));
  }

private:
  static bool AreEqual(const Resources& aLeft, const Resources& aRight)
  {
    return aLeft.cpu_ == aRight.cpu_ && aLeft.memory_ == aRight.memory_ &&
           aLeft.gpu_ == aRight.gpu_;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolReportTest);

} // namespace coltsfootshed
