/// \file
/// Tests how pools share the VMs of a fleet that is too small for all of them.

#include "Support/ManualClock.h"
#include "coltsfootshed/Pools/PoolPlanner.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace coltsfootshed {

class PoolSharingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PoolSharingTest);
  CPPUNIT_TEST(BackloggedPoolGivesVmsToAStarvedOne);
  CPPUNIT_TEST(LateWorkYieldsToWorkInTime);
  CPPUNIT_TEST(ABriefShortageMovesNoBusyVms);
  CPPUNIT_TEST(ExpectedWorkMovesNoBusyVms);
  CPPUNIT_TEST(VmsThatAreEmptySoonestAreTaken);
  CPPUNIT_TEST(VmsWithLongRunsAreDrainedForAsLongAsTheyTake);
  CPPUNIT_TEST(UnneededMovesAreDropped);
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
    work_.clear();
  }

  /// Finding SHORT: a queue whose peak came while another had a backlog was
  /// served by 28 of 349 VMs for 25 s.
  void BackloggedPoolGivesVmsToAStarvedOne()
  {
    AddVms("a", 2);
    AddVms("b", 22);
    work_["a"] = { 40, 40 };
    work_["b"] = { 40, 40 };
    Run(Millis(5000));
    CPPUNIT_ASSERT_EQUAL(12, CountVms("a"));
    CPPUNIT_ASSERT_EQUAL(12, CountVms("b"));
  }

  void LateWorkYieldsToWorkInTime()
  {
    AddVms("a", 2);
    AddVms("b", 22);
    work_["a"] = { 15, 15 }; // with headroom 18 VMs
    work_["b"] = { 40, 0 };
    Run(Millis(5000));
    CPPUNIT_ASSERT_EQUAL(18, CountVms("a"));
    CPPUNIT_ASSERT_EQUAL(6, CountVms("b"));
  }

  /// A move costs its VM some seconds, so noise must not cause any.
  void ABriefShortageMovesNoBusyVms()
  {
    AddVms("a", 4);
    AddVms("b", 20);
    work_["b"] = { 40, 40 };
    for (int i = 0; i < 10; ++i) {
      work_["a"] = { 20, 20 };
      Run(Millis(400));
      work_["a"] = { 2, 2 };
      Run(Millis(200));
    }
    CPPUNIT_ASSERT_EQUAL(20, CountVms("b"));
  }

  void ExpectedWorkMovesNoBusyVms()
  {
    AddVms("a", 4);
    AddVms("b", 20);
    work_["a"] = { 3, 3, 500 };
    work_["b"] = { 40, 40 };
    Run(Millis(5000));
    CPPUNIT_ASSERT_EQUAL(20, CountVms("b"));
  }

  void VmsThatAreEmptySoonestAreTaken()
  {
    AddVms("a", 11);
    AddVms("b", 13);
    work_["a"] = { 40, 40 };
    work_["b"] = { 40, 40 };
    for (Vm& vm : vms_) {
      bool isSoonest = vm.listed_.vm_ == "b7";
      vm.drainTime_ = isSoonest ? Millis(300) : Millis(6000);
    }
    Run(Millis(1500));
    CPPUNIT_ASSERT_EQUAL(1, moves_);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Find("b7").listed_.pool_);
  }

  void VmsWithLongRunsAreDrainedForAsLongAsTheyTake()
  {
    AddVms("a", 2);
    AddVms("b", 22);
    work_["a"] = { 40, 40 };
    work_["b"] = { 40, 40 };
    for (Vm& vm : vms_) {
      vm.drainTime_ = Millis(8000);
    }
    Run(Millis(12000));
    CPPUNIT_ASSERT_EQUAL(10, moves_);
    CPPUNIT_ASSERT_EQUAL(12, CountVms("a"));
  }

  void UnneededMovesAreDropped()
  {
    AddVms("a", 1);
    AddVms("b", 23);
    work_["a"] = { 40, 40 };
    work_["b"] = { 40, 40 };
    for (Vm& vm : vms_) {
      vm.drainTime_ = Millis(8000);
    }
    Run(Millis(2000));
    CPPUNIT_ASSERT_EQUAL(12, CountVms("b"));
    work_["a"] = { 0, 0 };
    Run(Millis(500));
    CPPUNIT_ASSERT_EQUAL(23, CountVms("b"));
    CPPUNIT_ASSERT_EQUAL(0, moves_);
  }

private:
  static constexpr Millis kTick{ 100 };
  static constexpr Millis kMoveTime{ 1500 };
  static constexpr std::int64_t kVmCpu = 8000;

  /// Work of a service, in VMs that it would fill.
  struct Work
  {
    int present_ = 0; ///< runs or waits
    int inTime_ = 0;  ///< of these, can be in time
    int expected_ = 0;
  };
  struct Vm
  {
    PoolVm listed_;
    /// Until its runs have ended once it takes no starts.
    Millis drainTime_{ 1000 };
    std::optional<Millis> vacatingSince_;
    Millis upAt_{ 0 }; ///< end of its last move
  };

  void AddVms(const std::string& aPool, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Vm vm;
      vm.listed_.vm_ = aPool + std::to_string(i);
      vm.listed_.pool_ = aPool;
      vm.listed_.phase_ = VmPhase::Up;
      vm.listed_.capacity_ = { kVmCpu, 32768, 0 };
      vm.listed_.target_ = "t-" + vm.listed_.vm_;
      vms_.push_back(vm);
    }
  }

  int CountVms(const std::string& aPool) const
  {
    return static_cast<int>(
      std::count_if(vms_.begin(), vms_.end(), [&](const Vm& aVm) {
        return aVm.listed_.pool_ == aPool && !aVm.vacatingSince_;
      }));
  }

  /// Lets a fleet live whose pools are always as busy as their work allows.
  void Run(Millis aTime)
  {
    for (Millis end = clock_.Now() + aTime; clock_.Now() < end;
         clock_.Advance(kTick)) {
      ListVms();
      for (const auto& [service, work] : work_) {
        Report(service, work);
      }
      for (const PoolOrder& order : planner_->Decide()) {
        if (const auto* move = std::get_if<MoveVm>(&order)) {
          Move(*move);
        }
      }
    }
  }

  void ListVms()
  {
    std::vector<PoolVm> listed;
    for (Vm& vm : vms_) {
      bool isUp = vm.upAt_ <= clock_.Now();
      vm.listed_.phase_ = isUp ? VmPhase::Up : VmPhase::Moving;
      listed.push_back(vm.listed_);
    }
    planner_->SetVms(listed);
  }

  void Report(const std::string& aService, const Work& aWork)
  {
    PoolReport report;
    report.service_ = aService;
    auto vacating = planner_->VacatingTargets(aService);
    int busy = 0;
    for (Vm& vm : vms_) {
      if (vm.listed_.pool_ != aService || vm.upAt_ > clock_.Now()) {
        continue;
      }
      bool isVacating =
        std::find(vacating.begin(), vacating.end(), vm.listed_.target_) !=
        vacating.end();
      if (!isVacating) {
        vm.vacatingSince_.reset();
      } else if (!vm.vacatingSince_) {
        vm.vacatingSince_ = clock_.Now();
      }
      Millis left = vm.drainTime_;
      if (vm.vacatingSince_) {
        left -= clock_.Now() - *vm.vacatingSince_;
      }
      bool hasRun = busy < aWork.present_ && left > Millis(0);
      busy += hasRun ? 1 : 0;
      report.targets_.push_back({ vm.listed_.target_,
                                  hasRun ? 1 : 0,
                                  0,
                                  isVacating,
                                  false,
                                  hasRun ? left : Millis(0) });
    }
    report.used_.cpu_ = busy * kVmCpu;
    report.waiting_.cpu_ = (aWork.present_ - busy) * kVmCpu;
    report.inTime_.cpu_ = aWork.inTime_ * kVmCpu;
    report.arrivingCpu_ = static_cast<double>(aWork.expected_ * kVmCpu);
    planner_->SetReport(report);
  }

  Vm& Find(const std::string& aVm)
  {
    return *std::find_if(vms_.begin(), vms_.end(), [&](const Vm& aEntry) {
      return aEntry.listed_.vm_ == aVm;
    });
  }

  void Move(const MoveVm& aMove)
  {
    Vm& vm = Find(aMove.vm_);
    vm.listed_.pool_ = aMove.pool_;
    vm.listed_.target_ += "'";
    vm.vacatingSince_.reset();
    vm.upAt_ = clock_.Now() + kMoveTime;
    ++moves_;
    planner_->OnVmOrderEnd(aMove.vm_, VmOrderEnd::Done);
  }

  ManualClock clock_;
  std::optional<PoolPlanner> planner_;
  std::vector<Vm> vms_;
  std::map<std::string, Work> work_;
  int moves_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolSharingTest);

} // namespace coltsfootshed
