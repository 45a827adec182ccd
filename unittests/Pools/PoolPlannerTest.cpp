/// \file
/// Pools that grow and shrink with their load, and maintenance waves within
/// their cap.

#include "coltsfootshed/Pools/PoolPlanner.h"
#include "Support/ManualClock.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace coltsfootshed {

class PoolPlannerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PoolPlannerTest);
  CPPUNIT_TEST(ABusyPoolTakesSpareVms);
  CPPUNIT_TEST(IdleVmsGoWhereWorkWaits);
  CPPUNIT_TEST(VmsWithRunsAreEmptiedFirst);
  CPPUNIT_TEST(LastingRunsKeepTheirVm);
  CPPUNIT_TEST(MovedTargetsStayClosed);
  CPPUNIT_TEST(OldReportsMoveNothing);
  CPPUNIT_TEST(WavesKeepTheirCap);
  CPPUNIT_TEST(AWaveIsCompleteAfterItsLastVm);
  CPPUNIT_TEST(WavesOutliveTheirManager);
  CPPUNIT_TEST(AnUnansweredOrderIsRepeated);
  CPPUNIT_TEST(LabelledWorkGetsVmsThatCarryTheLabel);
  CPPUNIT_TEST(LabelsThatWorkNeedsStay);
  CPPUNIT_TEST(ALackedVmIsNotKeptEmptyForLong);
  CPPUNIT_TEST(WhatIsMaintainedIsReplaced);
  CPPUNIT_TEST(LastingLoadNeedsNoHeadroom);
  CPPUNIT_TEST(OrdersOfAnEarlierManagerCountAsDown);
  CPPUNIT_TEST(WhatIsListedAsDownCounts);
  CPPUNIT_TEST(VmsAreLeftAloneForATime);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    planner_.emplace(clock_);
    std::vector<ServiceConfig> services = { { "a", false },
                                            { "b", false },
                                            { "spare", true } };
    planner_->SetServices(services);
    vms_.clear();
    for (const char* pool : { "a", "b", "spare" }) {
      for (int i = 0; i < 4; ++i) {
        AddVm(pool, i);
      }
    }
    planner_->SetVms(vms_);
  }

  void ABusyPoolTakesSpareVms()
  {
    Report("a", 4, 8);
    auto moves = Moves();
    CPPUNIT_ASSERT(!moves.empty());
    for (const MoveVm& move : moves) {
      CPPUNIT_ASSERT_EQUAL(std::string("a"), move.pool_);
      CPPUNIT_ASSERT(move.vm_.starts_with("spare"));
    }
  }

  void IdleVmsGoWhereWorkWaits()
  {
    Report("a", 4, 20);
    Report("b", 0, 0);
    Moves();
    // Their targets are closed first.
    CPPUNIT_ASSERT(planner_->Vacating("b").size() == 3);
    Report("b", 0, 0, planner_->Vacating("b"));
    auto moves = Moves();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), moves[0].pool_);
  }

  void VmsWithRunsAreEmptiedFirst()
  {
    Report("a", 4, 20);
    Report("b", 0, 0);
    Moves();
    auto closed = planner_->Vacating("b");
    Report("b", 0, 0, closed, 1);
    CPPUNIT_ASSERT(Moves().empty());
  }

  void LastingRunsKeepTheirVm()
  {
    Report("a", 4, 20);
    Report("b", 0, 0, {}, 1, 1);
    Moves();
    CPPUNIT_ASSERT(planner_->Vacating("b").empty());
  }

  /// The registry lists the target of a moved VM for seconds.
  void MovedTargetsStayClosed()
  {
    Report("a", 4, 20);
    Report("b", 0, 0);
    Moves();
    Report("b", 0, 0, planner_->Vacating("b"));
    auto moves = Moves();
    planner_->OnVmOrder(moves.at(0).vm_, VmOrderEnd::Done);
    auto closed = planner_->Vacating("b");
    CPPUNIT_ASSERT(std::find(closed.begin(),
                             closed.end(),
                             "t-" + moves[0].vm_) != closed.end());
  }

  void OldReportsMoveNothing()
  {
    Report("a", 4, 20);
    clock_.Advance(Millis(2000));
    CPPUNIT_ASSERT(Moves().empty());
  }

  void WavesKeepTheirCap()
  {
    Report("a", 0, 0);
    Report("b", 0, 0);
    planner_->SetWave({ 1, Names(), Millis(20000), 3 });
    std::size_t down = 0;
    for (int tick = 0; tick < 5; ++tick) {
      for (const PoolOrder& order : planner_->Decide()) {
        down += std::holds_alternative<MaintainVm>(order) ? 1 : 0;
      }
      Report("a", 0, 0, planner_->Vacating("a"));
      Report("b", 0, 0, planner_->Vacating("b"));
      clock_.Advance(Millis(150));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), down);
  }

  void AWaveIsCompleteAfterItsLastVm()
  {
    planner_->SetWave({ 1, { "spare0", "spare1" }, Millis(20000), 1 });
    int begun = 0;
    for (int tick = 0; tick < 100; ++tick) {
      for (const PoolOrder& order : planner_->Decide()) {
        if (const auto* maintain = std::get_if<MaintainVm>(&order)) {
          planner_->OnVmOrder(maintain->vm_, VmOrderEnd::Done);
          ++begun;
        }
        const auto* show = std::get_if<ShowWave>(&order);
        if (show != nullptr && show->complete_) {
          CPPUNIT_ASSERT_EQUAL(2, begun);
          return;
        }
      }
      clock_.Advance(Millis(500));
      planner_->SetVms(vms_);
    }
    CPPUNIT_FAIL("the wave is never complete");
  }

  void WavesOutliveTheirManager()
  {
    planner_->SetWave({ 1, { "spare0" }, Millis(20000), 1 });
    planner_->Decide();
    planner_->OnVmOrder("spare0", VmOrderEnd::Done);
    PoolPlanner successor(clock_);
    successor.SetVms(vms_);
    successor.SetWave({ 1, { "spare0" }, Millis(20000), 1 });
    successor.LoadWaves(planner_->EncodeWaves());
    for (const PoolOrder& order : successor.Decide()) {
      CPPUNIT_ASSERT(!std::holds_alternative<MaintainVm>(order));
    }
  }

  void AnUnansweredOrderIsRepeated()
  {
    planner_->SetWave({ 1, { "spare0" }, Millis(20000), 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Maintained());
    planner_->OnVmOrder("spare0", VmOrderEnd::NoAnswer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Maintained());
    clock_.Advance(Millis(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Maintained());
  }

  /// Labelled jobs waited for good on a variant of psig-shed: the pool held
  /// only VMs without the label.
  void LabelledWorkGetsVmsThatCarryTheLabel()
  {
    SetLabels();
    PoolReport report = ReportOf("a", 0, 1);
    report.byLabel_["gpu"] = { 8000, 1024, 0 };
    planner_->SetReport(report);
    auto moves = Moves();
    CPPUNIT_ASSERT(!moves.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("spare3"), moves[0].vm_);
  }

  void LabelsThatWorkNeedsStay()
  {
    SetLabels();
    Report("a", 4, 20);
    PoolReport report = ReportOf("b", 0, 0);
    report.byLabel_["gpu"] = { 4000, 1024, 0 };
    planner_->SetReport(report);
    Moves();
    auto leaving = planner_->Vacating("b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), leaving.size());
    CPPUNIT_ASSERT(std::find(leaving.begin(), leaving.end(), "t-b3") ==
                   leaving.end());
  }

  /// LOST on a variant of psig-shed (quiet-1, seed 143243432364): the only VM
  /// with a label was closed for a wave, and a lasting run on it had no other
  /// place.
  void ALackedVmIsNotKeptEmptyForLong()
  {
    SetLabels();
    planner_->SetWave({ 1, { "a3" }, Millis(20000), 1 });
    bool reopened = false;
    for (int i = 0; i < 30 && !reopened; ++i) {
      PoolReport report = ReportOf("a", 1, 2);
      report.byLabel_["gpu"] = { 16000, 1024, 0 };
      report.targets_[3].runs_ = 1;
      report.targets_[3].lasting_ = 1;
      planner_->SetReport(report);
      Moves();
      auto closed = planner_->Vacating("a");
      bool isClosed =
        std::find(closed.begin(), closed.end(), "t-a3") != closed.end();
      CPPUNIT_ASSERT(i > 0 || isClosed);
      reopened = i > 0 && !isClosed;
      clock_.Advance(Millis(100));
    }
    CPPUNIT_ASSERT(reopened);
  }

  void WhatIsMaintainedIsReplaced()
  {
    Report("a", 2, 0);
    CPPUNIT_ASSERT(Moves().empty());
    planner_->SetWave({ 1, { "a0", "a1", "a2", "a3" }, Millis(20000), 2 });
    auto moves = Moves();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), planner_->Vacating("a").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), moves[0].pool_);
  }

  void LastingLoadNeedsNoHeadroom()
  {
    PoolReport report = ReportOf("a", 3, 0);
    report.lasting_.cpu_ = report.used_.cpu_;
    planner_->SetReport(report);
    CPPUNIT_ASSERT(Moves().empty()); // three and one in reserve
    Report("a", 3, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Moves().size());
  }

  /// LIMIT on psig-shed (fresh-8184): a manager was lost right after it had
  /// ordered as many as the cap allows.
  void OrdersOfAnEarlierManagerCountAsDown()
  {
    planner_->SetWave({ 1, Names(), Millis(20000), 2 });
    planner_->NoteMaintenance("spare0", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Maintained());
  }

  void WhatIsListedAsDownCounts()
  {
    planner_->SetWave({ 1, Names(), Millis(20000), 2 });
    for (PoolVm& vm : vms_) {
      if (vm.vm_ == "spare0" || vm.vm_ == "spare1") {
        vm.phase_ = VmPhase::Maintained;
      }
    }
    planner_->SetVms(vms_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Maintained());
  }

  void VmsAreLeftAloneForATime()
  {
    for (const char* vm : { "spare0", "spare1", "spare2", "spare3" }) {
      planner_->LeaveAlone(vm, Millis(3000));
    }
    Report("a", 4, 20);
    CPPUNIT_ASSERT(Moves().empty());
    clock_.Advance(Millis(3000));
    Report("a", 4, 20);
    CPPUNIT_ASSERT(!Moves().empty());
  }

private:
  /// The last VM of each pool carries a label.
  void SetLabels()
  {
    for (PoolVm& vm : vms_) {
      vm.labels_ = { vm.vm_.ends_with("3") ? "gpu" : "plain", "r1" };
    }
    planner_->SetVms(vms_);
  }

  void AddVm(const std::string& aPool, int aNumber)
  {
    PoolVm vm;
    vm.vm_ = aPool + std::to_string(aNumber);
    vm.pool_ = aPool;
    vm.phase_ = VmPhase::Up;
    vm.capacity_ = { 8000, 32768, 0 };
    vm.target_ = aPool == "spare" ? "" : "t-" + vm.vm_;
    vms_.push_back(vm);
  }

  std::vector<std::string> Names() const
  {
    std::vector<std::string> names;
    for (const PoolVm& vm : vms_) {
      names.push_back(vm.vm_);
    }
    return names;
  }

  /// aBusy and aWaiting in VMs' worth of processors.
  void Report(const std::string& aService,
              int aBusy,
              int aWaiting,
              const std::vector<std::string>& aClosed = {},
              int aRuns = 0,
              int aLasting = 0)
  {
    planner_->SetReport(
      ReportOf(aService, aBusy, aWaiting, aClosed, aRuns, aLasting));
  }

  PoolReport ReportOf(const std::string& aService,
                      int aBusy,
                      int aWaiting,
                      const std::vector<std::string>& aClosed = {},
                      int aRuns = 0,
                      int aLasting = 0) const
  {
    PoolReport report;
    report.service_ = aService;
    report.used_.cpu_ = 8000 * static_cast<std::int64_t>(aBusy);
    report.waiting_.cpu_ = 8000 * static_cast<std::int64_t>(aWaiting);
    for (const PoolVm& vm : vms_) {
      if (vm.pool_ == aService) {
        bool closed = std::find(aClosed.begin(), aClosed.end(), vm.target_) !=
                      aClosed.end();
        report.targets_.push_back({ vm.target_, aRuns, aLasting, closed });
      }
    }
    return report;
  }

  std::vector<MoveVm> Moves()
  {
    std::vector<MoveVm> moves;
    for (const PoolOrder& order : planner_->Decide()) {
      if (const auto* move = std::get_if<MoveVm>(&order)) {
        moves.push_back(*move);
      }
    }
    return moves;
  }

  std::size_t Maintained()
  {
    std::size_t count = 0;
    for (const PoolOrder& order : planner_->Decide()) {
      count += std::holds_alternative<MaintainVm>(order) ? 1 : 0;
    }
    return count;
  }

  ManualClock clock_;
  std::optional<PoolPlanner> planner_;
  std::vector<PoolVm> vms_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolPlannerTest);

} // namespace coltsfootshed
