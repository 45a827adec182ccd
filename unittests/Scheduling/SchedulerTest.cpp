/// \file
/// Tests single decisions of the scheduler, most of them in failure scenarios.

#include "coltsfootshed/Scheduling/Scheduler.h"
#include "Support/ManualClock.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootshed {

static constexpr Fence kFence = 10;

class SchedulerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SchedulerTest);
  CPPUNIT_TEST(TargetsThatAreNotHeldAreNotReported);
  CPPUNIT_TEST(ASilentTargetsLeaseRunsOut);
  CPPUNIT_TEST(RunsAreNotDroppedUnlessAuthorityIsConfirmed);
  CPPUNIT_TEST(DoubtfulAuthorityRenewsNoLeases);
  CPPUNIT_TEST(AnIsolatedLeadersLeasesEndWithinItsSuccessorsWait);
  CPPUNIT_TEST(AReplacedLeaderDoesNotLeadAgainWhileTheStoreIsDown);
  CPPUNIT_TEST(ATakeOverIsShorterIfThePredecessorsKnewThisVm);
  CPPUNIT_TEST(AnIsolatedLeaderStartsNoJobOfItsSuccessor);
  CPPUNIT_TEST(AnIsolatedLeaderLearnsNothingFromRestartedTargets);
  CPPUNIT_TEST(AnIsolatedLeaderDropsNoRunsOfReplacedTargets);
  CPPUNIT_TEST(UnknownRunsBlockTheirTarget);
  CPPUNIT_TEST(OldJobsWaitForAllTargets);
  CPPUNIT_TEST(NewJobsDoNotWait);
  CPPUNIT_TEST(EndsAreAcknowledgedOnceSaved);
  CPPUNIT_TEST(CompletionIsShownOnceSaved);
  CPPUNIT_TEST(EvacuationKeepsAvailability);
  CPPUNIT_TEST(ADoubtfulLeaderStopsOnlyRunsOfEndedJobs);
  CPPUNIT_TEST(AdoptedRunsMayBeStoppingAtFirst);
  CPPUNIT_TEST(AdoptedRunsMayBeStoppingUntilALaterAnswer);
  CPPUNIT_TEST(OfTwoRunsTheOneAtWorkIsKept);
  CPPUNIT_TEST(BestEffortTasksAreSlowedDown);
  CPPUNIT_TEST(APaceThatWasNotSentIsOrderedAgain);
  CPPUNIT_TEST(TicketsAreRequestedBeforeStarts);
  CPPUNIT_TEST(EndsOfAPredecessorsOccurrenceAreCounted);
  CPPUNIT_TEST(RunsOfAPredecessorsOccurrenceAreKept);
  CPPUNIT_TEST(StartedStepsAreFinishedFirst);
  CPPUNIT_TEST(AnOverloadedPoolFavoursJobsThatCanBeInTime);
  CPPUNIT_TEST(SuspectedTargetsGetOneStartAtATime);
  CPPUNIT_TEST(ALateLeaderBlamesNoTarget);
  CPPUNIT_TEST(ALateLeaderSendsFewerStarts);
  CPPUNIT_TEST(ARiseOfArrivalsIsReportedAtOnce);
  CPPUNIT_TEST(LateWorkIsNotReportedAsInTime);
  CPPUNIT_TEST(OverdueRunsAreNotReportedAsAboutToEnd);
  CPPUNIT_TEST(ALostStartIsDetectedByAProbe);
  CPPUNIT_TEST(AnOutdatedHoldAnswerIsIgnored);
  CPPUNIT_TEST(ChangesAreSavedByAge);
  CPPUNIT_TEST(EndedJobsAreSavedFirst);
  CPPUNIT_TEST(AnEarlierPoolManagerIsIgnored);
  CPPUNIT_TEST(TargetsLeavingTheRosterGetNoStarts);
  CPPUNIT_TEST(StepsThatBecomeReadyAfterATakeOverDoNotWait);
  CPPUNIT_TEST(StepsThatMayHaveStartedBeforeATakeOverWait);
  CPPUNIT_TEST(ARunOfADoneTaskIsNoEvidenceAfterATakeOver);
  CPPUNIT_TEST(ATaskSeenRunningAfterATakeOverIsRestarted);
  CPPUNIT_TEST(ASpeculativeTaskSeenRunningAfterATakeOverWaits);
  CPPUNIT_TEST(ATargetIsReportedAsInTheRosterUntilASaveOmitsIt);
  CPPUNIT_TEST(AJobWithUnreadableProgressStartsNothing);
  CPPUNIT_TEST(OldJobsDoNotWaitForTargetsWhoseVmsWereMoved);
  CPPUNIT_TEST(OldJobsDoNotWaitForTargetsThatWereReplaced);
  CPPUNIT_TEST(OldJobsWaitForTargetsThatAreListedAgain);
  CPPUNIT_TEST(OldJobsWaitIfTheRosterIsUnreadable);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    SchedulerSettings settings;
    settings.service_ = "stitch";
    settings.fence_ = kFence;
    savesSucceed_ = false;
    scheduler_ = std::make_unique<Scheduler>(clock_, clock_, settings);
  }

  /// The pool manager would take a VM for empty if its target were reported
  /// before the new leader knows what runs there.
  void TargetsThatAreNotHeldAreNotReported()
  {
    Register("t1");
    CPPUNIT_ASSERT(scheduler_->Report().targets_.empty());
    Decide();
    AnswerHold("t1", {});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler_->Report().targets_.size());
  }

  void ASilentTargetsLeaseRunsOut()
  {
    StartOne();
    Register("t2");
    Step();
    AnswerHold("t2", {});
    auto starts = SilenceFor("t1", Millis(9000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), starts[0].target_);
  }

  /// Another scheduler may have renewed a lease that looks expired here.
  void RunsAreNotDroppedUnlessAuthorityIsConfirmed()
  {
    StartOne();
    Register("t2");
    Step();
    AnswerHold("t2", {});
    scheduler_->SetAuthority(Authority::StoreUnreachable, clock_.Now());
    CPPUNIT_ASSERT(SilenceFor("t1", Millis(9000)).empty());
  }

  void DoubtfulAuthorityRenewsNoLeases()
  {
    StartOne();
    scheduler_->SetAuthority(Authority::Doubtful, clock_.Now());
    clock_.Advance(Millis(2000));
    for (const TargetHold& hold : OrdersOf<TargetHold>(Decide())) {
      CPPUNIT_ASSERT(!hold.order_.leaseUntil_.has_value());
    }
  }

  /// review/6, TWICE: a leader whose data centre was cut off, and that knew no
  /// other VM, renewed leases and started tasks without end, beside a successor
  /// that it did not know.
  void AnIsolatedLeadersLeasesEndWithinItsSuccessorsWait()
  {
    TargetStart start = StartOne();
    ReportedRun run{ start.order_.task_, start.order_.run_, "", 10, 0 };
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    TargetTime latest =
      (clock_.Now() + SchedulerSettings().takeOverWait_).count();
    std::size_t renewals = 0;
    for (int i = 0; i < 100; ++i) {
      clock_.Advance(Millis(100));
      scheduler_->SetAuthority(Authority::StoreUnreachable, clock_.Now());
      Orders orders = Decide();
      for (const TargetHold& hold : OrdersOf<TargetHold>(orders)) {
        renewals += hold.order_.leaseUntil_.has_value() ? 1 : 0;
        CPPUNIT_ASSERT(hold.order_.leaseUntil_.value_or(0) <= latest);
        Answer(hold, MakeHoldAnswer({ run }));
      }
    }
    CPPUNIT_ASSERT(renewals > 0); // a short outage of the store ends no run
    // A leader that keeps its lease after all goes on as before.
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    JobRecord other = Record();
    other.id_ = "00000000000000bb";
    scheduler_->AddJob(other, kFence + 2);
    auto starts = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT(
      std::any_of(starts.begin(), starts.end(), [&](const auto& aStart) {
        return aStart.order_.task_.job_ == other.id_;
      }));
  }

  /// review/7, TWICE: a leader that had been replaced while it was cut off
  /// started tasks again when the store went down for all VMs.
  void AReplacedLeaderDoesNotLeadAgainWhileTheStoreIsDown()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    AddJob(kFence + 1);
    clock_.Advance(Millis(2000));
    scheduler_->SetAuthority(Authority::Doubtful, clock_.Now());
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    clock_.Advance(SchedulerSettings().takeOverWait_);
    scheduler_->SetAuthority(Authority::StoreUnreachable, clock_.Now());
    for (int i = 0; i < 10; ++i) {
      Orders orders = Step();
      CPPUNIT_ASSERT(OrdersOf<TargetStart>(orders).empty());
      for (const TargetHold& hold : OrdersOf<TargetHold>(orders)) {
        CPPUNIT_ASSERT(!hold.order_.leaseUntil_.has_value());
        Answer(hold, MakeHoldAnswer({}));
      }
    }
  }

  /// Only a predecessor that knows no VM which reaches the store goes on beyond
  /// its leadership.
  void ATakeOverIsShorterIfThePredecessorsKnewThisVm()
  {
    for (bool known : { false, true }) {
      SchedulerSettings settings;
      settings.service_ = "stitch";
      settings.fence_ = kFence;
      settings.lease_ = Millis(3000);
      settings.takeOverWait_ = Millis(4000);
      scheduler_ = std::make_unique<Scheduler>(clock_, clock_, settings);
      scheduler_->SetKnownToPredecessors(known);
      TakeOver();
      AddJob(kFence - 1);
      CPPUNIT_ASSERT(SilenceFor("t2", Millis(3000)).empty());
      CPPUNIT_ASSERT_EQUAL(known, !SilenceFor("t2", Millis(500)).empty());
      CPPUNIT_ASSERT_EQUAL(!known, !SilenceFor("t2", Millis(1000)).empty());
    }
  }

  /// A successor starts at once what was accepted under its leadership, which
  /// its predecessor's watch may show before the change of leader.
  void AnIsolatedLeaderStartsNoJobOfItsSuccessor()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    Step();
    scheduler_->SetAuthority(Authority::StoreUnreachable, clock_.Now());
    AddJob(kFence + 100);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

  /// A target that has restarted no longer refuses the orders of a leader that
  /// was replaced before.
  void AnIsolatedLeaderLearnsNothingFromRestartedTargets()
  {
    StartOne();
    Register("t2");
    Step();
    AnswerHold("t2", {});
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    Step();
    scheduler_->SetAuthority(Authority::StoreUnreachable, clock_.Now());
    HoldAnswer restarted = MakeHoldAnswer({});
    restarted.startedAt_ = 2;
    scheduler_->OnHold("t1", restarted);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    scheduler_->OnProbe("t1", restarted);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    scheduler_->OnHold("t1", restarted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

  void AnIsolatedLeaderDropsNoRunsOfReplacedTargets()
  {
    StartOne();
    Register("t2");
    Step();
    AnswerHold("t2", {});
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    Step();
    scheduler_->SetAuthority(Authority::StoreUnreachable, clock_.Now());
    HoldAnswer replaced;
    replaced.end_ = OrderEnd::WrongTarget;
    scheduler_->OnHold("t1", replaced);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    scheduler_->OnHold("t1", replaced);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

  void UnknownRunsBlockTheirTarget()
  {
    Register("t1");
    Decide();
    AnswerHold("t1",
               { { TaskName{ "00000000000000ff", 0, 0, 0 }, 5, "", 50, 0 } });
    AddJob(kFence + 1);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
  }

  void OldJobsWaitForAllTargets()
  {
    TakeOver();
    AddJob(kFence - 1);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    CPPUNIT_ASSERT(!SilenceFor("t2", Millis(6000)).empty());
  }

  /// Finding LOST: a step became ready 2 s after a take-over, and waited until
  /// a silent target's leases had run out. An earlier scheduler cannot have
  /// started it, as a task of the step before was still running.
  void StepsThatBecomeReadyAfterATakeOverDoNotWait()
  {
    JobRecord record = TwoStepRecord();
    TaskName first{ record.id_, 0, 0, 0 };
    TakeOver({ { first, 5, "", 50, 0 } }, {}, record);
    Step();
    HoldAnswer answer = MakeHoldAnswer({});
    answer.ended_.push_back({ 1, first, 5, RunEnd::Done, "" });
    scheduler_->OnHold("t1", answer);
    auto starts = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    CPPUNIT_ASSERT_EQUAL(1, starts[0].order_.task_.step_);
  }

  /// The earlier scheduler may have seen the same end, and started the next
  /// step on the silent target.
  void StepsThatMayHaveStartedBeforeATakeOverWait()
  {
    JobRecord record = TwoStepRecord();
    TaskName first{ record.id_, 0, 0, 0 };
    TakeOver({}, { { 1, first, 5, RunEnd::Done, "" } }, record);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    CPPUNIT_ASSERT(!SilenceFor("t2", Millis(6000)).empty());
  }

  /// A start of the first step was carried out late, when the step was done and
  /// the second may have been started on the silent target.
  void ARunOfADoneTaskIsNoEvidenceAfterATakeOver()
  {
    JobRecord record = TwoStepRecord();
    TaskName first{ record.id_, 0, 0, 0 };
    Job saved(record, Millis(0), Millis(0));
    saved.MarkDone(first);
    scheduler_->AddJob(record, kFence - 1);
    scheduler_->LoadProgress(record.id_, saved.EncodeProgress(), 5);
    TakeOver({ { first, 5, "", 50, 0 } }, {}, record);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
  }

  /// A task has one run at a time, so none is on the silent target.
  void ATaskSeenRunningAfterATakeOverIsRestarted()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), RestartsAfterATakeOver(false));
  }

  void ASpeculativeTaskSeenRunningAfterATakeOverWaits()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), RestartsAfterATakeOver(true));
  }

  /// If its VM were moved before, a successor would wait for the target.
  void ATargetIsReportedAsInTheRosterUntilASaveOmitsIt()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    CPPUNIT_ASSERT(scheduler_->Report().targets_.at(0).inRoster_);
    std::vector<std::string> vacating = { "t1" };
    scheduler_->SetVacating(1, vacating);
    rosterSavesSucceed_ = false;
    clock_.Advance(Millis(1000));
    CPPUNIT_ASSERT(!OrdersOf<SaveRoster>(Decide()).empty());
    CPPUNIT_ASSERT(scheduler_->Report().targets_.at(0).inRoster_);
    rosterSavesSucceed_ = true;
    clock_.Advance(Millis(1000));
    CPPUNIT_ASSERT(!OrdersOf<SaveRoster>(Decide()).empty());
    CPPUNIT_ASSERT(!scheduler_->Report().targets_.at(0).inRoster_);
  }

  void AJobWithUnreadableProgressStartsNothing()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    AddJob(kFence + 1);
    scheduler_->LoadProgress(Record().id_, "{", 1);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    CPPUNIT_ASSERT(SilenceFor("t2", Millis(6000)).empty());
  }

  /// SHORT: the leader of a peak was lost, and its successor started nothing
  /// for 5.2 s, as idle VMs had just been moved to another pool.
  void OldJobsDoNotWaitForTargetsWhoseVmsWereMoved()
  {
    TakeOver();
    AddJob(kFence - 1);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    auto unanswered = scheduler_->Report().unanswered_;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), unanswered.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), unanswered[0].target_);
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), unanswered[0].vm_);
    std::vector<std::string> gone{ "t2" };
    scheduler_->RetireTargets(gone);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
    CPPUNIT_ASSERT(scheduler_->Report().unanswered_.empty());
  }

  /// The same after maintenance or a crash: a VM runs one target at a time.
  void OldJobsDoNotWaitForTargetsThatWereReplaced()
  {
    TakeOver();
    AddJob(kFence - 1);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    Register("t3", "v2");
    // Its entry alone may be older than that of the silent target.
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    AnswerHold("t3", {});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

  /// Its VM is back, and the target started again under its id.
  void OldJobsWaitForTargetsThatAreListedAgain()
  {
    TakeOver();
    AddJob(kFence - 1);
    TargetInfo other;
    other.id_ = "t4";
    std::vector<TargetInfo> roster{ other };
    scheduler_->LoadRoster(roster);
    std::vector<std::string> gone{ "t2" };
    scheduler_->RetireTargets(gone);
    Register("t2", "v2");
    gone = { "t4" };
    scheduler_->RetireTargets(gone);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    AnswerHold("t2", {});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

  void OldJobsWaitIfTheRosterIsUnreadable()
  {
    scheduler_->SetRosterUnknown();
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    AddJob(kFence - 1);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    clock_.Advance(Millis(5300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

  void NewJobsDoNotWait()
  {
    TakeOver();
    AddJob(kFence + 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

  void EndsAreAcknowledgedOnceSaved()
  {
    TargetStart start = StartOne();
    ReportEnd(start, RunEnd::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Acknowledged(false));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Acknowledged(true));
  }

  void CompletionIsShownOnceSaved()
  {
    TargetStart start = StartOne();
    ReportEnd(start, RunEnd::Done);
    const std::string& job = start.order_.task_.job_;
    CPPUNIT_ASSERT(scheduler_->StateOf(job) == JobState::Running);
    Acknowledged(true);
    CPPUNIT_ASSERT(scheduler_->StateOf(job) == JobState::Complete);
  }

  /// Of two long-running tasks, one may be unavailable: they are stopped one at
  /// a time.
  void EvacuationKeepsAvailability()
  {
    Register("t1");
    Register("t2");
    Decide();
    AnswerHold("t1", {});
    AnswerHold("t2", {});
    JobRecord record = Record();
    record.spec_.steps_[0].tasks_ = 2;
    record.spec_.steps_[0].longRunning_ = true;
    record.spec_.steps_[0].maxUnavailableTasks_ = 1;
    scheduler_->AddJob(record, kFence + 1);
    auto starts = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
    std::string vacatingTarget = starts[0].target_;
    CPPUNIT_ASSERT_EQUAL(vacatingTarget, starts[1].target_);
    std::vector<ReportedRun> listedRuns;
    for (const TargetStart& start : starts) {
      AcknowledgeStart(start);
      listedRuns.push_back(
        { start.order_.task_, start.order_.run_, "", 100, 0 });
    }
    Step();
    AnswerHold(vacatingTarget, listedRuns);
    std::vector<std::string> vacating = { vacatingTarget };
    scheduler_->SetVacating(1, vacating);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStop>(Step()).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), OrdersOf<TargetStop>(Step()).size());
  }

  /// Finding AVAIL: a leader that had been replaced went on to stop
  /// long-running tasks beside its successor, so that together they stopped too
  /// many.
  void ADoubtfulLeaderStopsOnlyRunsOfEndedJobs()
  {
    StartTwoLongRunning();
    std::vector<std::string> vacating = { "t1" };
    scheduler_->SetVacating(1, vacating);
    scheduler_->SetAuthority(Authority::Doubtful, clock_.Now());
    CPPUNIT_ASSERT(OrdersOf<TargetStop>(Step()).empty());
    scheduler_->CancelJob(Record().id_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), OrdersOf<TargetStop>(Step()).size());
  }

  /// A target lists a run that an earlier leader has stopped until it has
  /// ended.
  void AdoptedRunsMayBeStoppingAtFirst()
  {
    Register("t1");
    Register("t2");
    Decide();
    scheduler_->AddJob(TwoLongRunningRecord(), kFence - 1);
    std::vector<ReportedRun> runs = {
      { { Record().id_, 0, 0, 0 }, 5, "", 100, 0 },
      { { Record().id_, 0, 0, 1 }, 6, "", 100, 0 }
    };
    AnswerHold("t1", runs);
    AnswerHold("t2", {});
    std::vector<std::string> vacating = { "t1" };
    scheduler_->SetVacating(1, vacating);
    std::size_t stops = 0;
    Millis end = clock_.Now() + SchedulerSettings().longestStop_;
    while (clock_.Now() < end) {
      clock_.Advance(Millis(50));
      Orders orders = Decide();
      stops += OrdersOf<TargetStop>(orders).size();
      for (const TargetHold& hold : OrdersOf<TargetHold>(orders)) {
        Answer(hold,
               MakeHoldAnswer(
                 hold.target_ == "t1" ? runs : std::vector<ReportedRun>()));
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stops);
    clock_.Advance(Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStop>(Decide()).size());
  }

  /// Finding AVAIL on trouble-2 of psig-shed-large, suspected cause: the answer
  /// that shows the end of an adopted run is late, or waits in a busy process.
  void AdoptedRunsMayBeStoppingUntilALaterAnswer()
  {
    Register("t1");
    Register("t2");
    Decide();
    scheduler_->AddJob(TwoLongRunningRecord(), kFence - 1);
    AnswerHold("t1", { { { Record().id_, 0, 0, 0 }, 5, "", 100, 0 } });
    AnswerHold("t2", { { { Record().id_, 0, 0, 1 }, 6, "", 100, 0 } });
    Decide(); // sends the next holds, which are not answered
    std::vector<std::string> vacating = { "t1" };
    scheduler_->SetVacating(1, vacating);
    clock_.Advance(SchedulerSettings().longestStop_ + Millis(500));
    CPPUNIT_ASSERT(OrdersOf<TargetStop>(Decide()).empty());
  }

  /// The first run of a task may be on a target that does not answer; stopping
  /// the second would end a task that is at work.
  void OfTwoRunsTheOneAtWorkIsKept()
  {
    Register("t1");
    Register("t2");
    Decide();
    JobRecord record = TwoLongRunningRecord();
    record.spec_.steps_[0].tasks_ = 1;
    scheduler_->AddJob(record, kFence - 1);
    TaskName task{ record.id_, 0, 0, 0 };
    AnswerHold("t1", { { task, 5, "", 10, 0 } });
    AnswerHold("t2", { { task, 6, "", 100, 0 } });
    auto stops = OrdersOf<TargetStop>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), stops.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), stops[0].target_);
  }

  void BestEffortTasksAreSlowedDown()
  {
    TargetPace pace = SlowDown(39);
    CPPUNIT_ASSERT(pace.order_.percent_ < 100);
    CPPUNIT_ASSERT_EQUAL(std::string("00000000000000bb"),
                         pace.order_.task_.job_);
  }

  /// An order that was not sent changes nothing: taken for one whose outcome is
  /// unknown, the task counted as running at full speed and stayed paced.
  void APaceThatWasNotSentIsOrderedAgain()
  {
    TargetPace first = SlowDown(39);
    scheduler_->OnPace(
      "t1", { first.order_.task_, first.order_.run_ }, { OrderEnd::Done, {} });
    clock_.Advance(Millis(1000));
    auto second = OrdersOf<TargetPace>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.size());
    scheduler_->OnPace("t1",
                       { first.order_.task_, first.order_.run_ },
                       { OrderEnd::NotSent, {} });
    auto third = OrdersOf<TargetPace>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), third.size());
    CPPUNIT_ASSERT_EQUAL(second[0].order_.percent_, third[0].order_.percent_);
  }

  void TicketsAreRequestedBeforeStarts()
  {
    Register("t1");
    Register("t2");
    Decide();
    AnswerHold("t1", {});
    AnswerHold("t2", {});
    JobRecord record = Record();
    record.needsTickets_ = true;
    scheduler_->AddJob(record, kFence + 1);
    auto orders = Step();
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(orders).empty());
    auto asks = OrdersOf<AskAdvice>(orders);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), asks.size());
    Advice advice;
    advice.answered_ = true;
    advice.validFor_ = Millis(3000);
    advice.granted_ = { { "t2", "ticket-2" } };
    scheduler_->OnAdvice(asks[0].step_, asks[0].targets_, advice, false);
    auto starts = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), starts[0].target_);
    CPPUNIT_ASSERT_EQUAL(std::string("ticket-2"), starts[0].order_.ticket_);
  }

  /// Guards against running a task twice: a successor that has not created an
  /// occurrence yet must not drop and acknowledge its ends. Original case:
  /// psig-shed with scheduled jobs, scale-2, seed 497181948306.
  void EndsOfAPredecessorsOccurrenceAreCounted()
  {
    TakeOver();
    scheduler_->AddJob(PeriodicRecord(), kFence - 1);
    HoldAnswer answer = MakeHoldAnswer({});
    answer.ended_.push_back(
      { 1, TaskName{ "00000000000000aa", 1, 0, 0 }, 3, RunEnd::Done, "" });
    scheduler_->OnHold("t1", answer);
    savesSucceed_ = true;
    for (const TargetStart& start : SilenceFor("t2", Millis(9000))) {
      CPPUNIT_ASSERT(start.order_.task_.occurrence_ != 1);
    }
  }

  /// The predecessor's time of day may be ahead, so that it created an
  /// occurrence that is not due here yet. Its runs must be neither stopped nor
  /// duplicated.
  void RunsOfAPredecessorsOccurrenceAreKept()
  {
    TakeOver();
    JobRecord record = PeriodicRecord();
    record.spec_.occurrences_ = 1;
    record.spec_.firstDue_ = clock_.Now() + Millis(300);
    scheduler_->AddJob(record, kFence - 1);
    TaskName task{ "00000000000000aa", 0, 0, 0 };
    AnswerHold("t1", { { task, 3, "", 50, 0 } });
    CPPUNIT_ASSERT(OrdersOf<TargetStop>(Step()).empty());
    Register("t2");
    AnswerHold("t2", {});
    clock_.Advance(Millis(300)); // the occurrence is due here as well
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
  }

  /// Room spent on part of a step is wasted while the step waits for the rest.
  void StartedStepsAreFinishedFirst()
  {
    Register("t1"); // 8 cores
    Decide();
    AnswerHold("t1", {});
    scheduler_->AddJob(WideJob("00000000000000aa", 12, Millis(2000)),
                       kFence + 1);
    auto first = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), first.size());
    for (const TargetStart& start : first) {
      AcknowledgeStart(start);
    }
    // The second job has less slack, but none of its tasks has started.
    scheduler_->AddJob(WideJob("00000000000000bb", 4, Millis(1000)),
                       kFence + 1);
    HoldAnswer answer = MakeHoldAnswer({});
    for (std::size_t i = 0; i < first.size(); ++i) {
      bool ends = i < 4;
      const StartOrder& order = first[i].order_;
      if (ends) {
        answer.ended_.push_back(
          { i + 1, order.task_, order.run_, RunEnd::Done, "" });
      } else {
        answer.running_.push_back({ order.task_, order.run_, "", 10, 0 });
      }
    }
    Step();
    scheduler_->OnHold("t1", answer);
    auto next = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), next.size());
    for (const TargetStart& start : next) {
      CPPUNIT_ASSERT_EQUAL(std::string("00000000000000aa"),
                           start.order_.task_.job_);
    }
  }

  /// Simulates a queue that asks for five times what its pool holds. At least
  /// 70% of the possible jobs must be in time, and more than with first come,
  /// first served, which makes all jobs late after the first seconds of this
  /// load.
  void AnOverloadedPoolFavoursJobsThatCanBeInTime()
  {
    constexpr int kTargets = 4;
    constexpr Millis kLoadTime{ 4500 };
    constexpr Millis kTask{ 1000 };
    constexpr Millis kObjective{ 2200 };
    OverloadResult result =
      SimulateOverload(kTargets, kLoadTime, kTask, kObjective);
    // Each target runs 8 tasks at once, which is one job of 8 tasks per task
    // time.
    int possible =
      kTargets * static_cast<int>((kLoadTime + kObjective) / kTask);
    int fifo = FirstComeFirstServed(kTargets, kLoadTime, kTask, kObjective);
    CPPUNIT_ASSERT(result.inTime_ > fifo);
    CPPUNIT_ASSERT(result.inTime_ * 10 >= possible * 7);
    CPPUNIT_ASSERT_EQUAL(result.jobs_, result.ended_);
  }

  /// A target may leave starts unanswered and carry them out late. It then gets
  /// further starts one at a time until it has answered some.
  /// Finding on trouble-2 of faellesruten-grown: leaders of 0.12 of a core left
  /// answers unread, and took 663 sound targets out of use.
  void ALateLeaderBlamesNoTarget()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    AddJob(kFence + 1);
    auto starts = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    clock_.Advance(Millis(300));
    scheduler_->NoteLateness(Millis(300));
    const StartOrder& order = starts[0].order_;
    scheduler_->OnStart(
      "t1", { order.task_, order.run_ }, { OrderEnd::NoAnswer, {} });
    CPPUNIT_ASSERT_EQUAL(0, scheduler_->Targets().at("t1").suspicion_);
  }

  void ALateLeaderSendsFewerStarts()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(40), StartsOfABacklog(false));
    // Some starts of the step that reaches the window are sent as well.
    std::size_t starts = StartsOfABacklog(true);
    CPPUNIT_ASSERT(starts >= 16 && starts < 24);
  }

  void SuspectedTargetsGetOneStartAtATime()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    scheduler_->AddJob(WideJob("00000000000000aa", 8, Millis(9000)),
                       kFence + 1);
    auto first = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), first.size());
    clock_.Advance(Millis(400));
    for (const TargetStart& start : first) {
      LeaveUnanswered(start);
    }
    StopAll(first);
    std::vector<TargetStart> next;
    for (int i = 0; i < 20 && next.empty(); ++i) {
      next = OrdersOf<TargetStart>(Step());
    }
    constexpr int kAnswered = 3;
    for (int i = 0; i < kAnswered; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.size());
      CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
      AcknowledgeStart(next[0]);
      next = OrdersOf<TargetStart>(Step());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), next.size());
  }

  void ARiseOfArrivalsIsReportedAtOnce()
  {
    constexpr double kCpuPerJob = 8000.0; // 8 tasks of one core for 500 ms each
    constexpr Millis kInterval{ 10 };
    for (int i = 0; i < 10; ++i) {
      scheduler_->AddJob(WideJob("00000000000000b" + std::to_string(i), 8, {}),
                         kFence + 1);
      clock_.Advance(kInterval);
    }
    double rate =
      kCpuPerJob * 0.5 / (static_cast<double>(kInterval.count()) / 1000);
    double shown = scheduler_->Report().arrivingCpu_;
    CPPUNIT_ASSERT(shown > 0.5 * rate);
    CPPUNIT_ASSERT(shown <= 2 * rate); // allows for a further rise
    // A single job does not count as a rise.
    setUp();
    scheduler_->AddJob(WideJob("00000000000000c0", 8, {}), kFence + 1);
    CPPUNIT_ASSERT(scheduler_->Report().arrivingCpu_ <= kCpuPerJob);
  }

  void LateWorkIsNotReportedAsInTime()
  {
    TargetStart start = StartBesideHold();
    const Resources& runs =
      scheduler_->Targets().at(start.target_).runs_.rbegin()->second.takes_;
    scheduler_->AddJob(WideJob("00000000000000d0", 8, Millis(9000)),
                       kFence + 1);
    CPPUNIT_ASSERT_EQUAL(runs.cpu_ + 8 * 1000,
                         scheduler_->Report().inTime_.cpu_);
    clock_.Advance(Millis(60000));
    PoolReport late = scheduler_->Report();
    CPPUNIT_ASSERT(late.used_.cpu_ > 0 && late.waiting_.cpu_ > 0);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), late.inTime_.cpu_);
  }

  /// A VM would be drained for a run that may take many times its estimate.
  void OverdueRunsAreNotReportedAsAboutToEnd()
  {
    StartOne();
    const RunState run = scheduler_->Targets().at("t1").runs_.begin()->second;
    auto emptyIn = [&] {
      return scheduler_->Report().targets_.at(0).emptyIn_.count();
    };
    Millis elapsed = clock_.Now() - run.sentAt_;
    CPPUNIT_ASSERT(elapsed < run.estimate_);
    CPPUNIT_ASSERT_EQUAL((run.estimate_ - elapsed).count(), emptyIn());
    clock_.Advance(10 * run.estimate_);
    CPPUNIT_ASSERT_EQUAL((elapsed + 10 * run.estimate_).count(), emptyIn());
  }

  /// Without probes, a hold that waits reports the missing run up to 700 ms
  /// late, and with lost orders a task waits for two seconds.
  void ALostStartIsDetectedByAProbe()
  {
    TargetStart lost = StartBesideHold();
    LeaveUnanswered(lost);
    std::vector<TargetStart> restarts;
    for (int i = 0; i < 20 && restarts.empty(); ++i) {
      Orders orders = Step();
      for (const TargetHold& hold : OrdersOf<TargetHold>(orders)) {
        CPPUNIT_ASSERT(hold.order_.isProbe_);
        CPPUNIT_ASSERT(!hold.order_.leaseUntil_.has_value());
        Answer(hold, MakeHoldAnswer({ firstRun_ }));
      }
      for (const TargetStop& stop : OrdersOf<TargetStop>(orders)) {
        scheduler_->OnStop(stop.target_,
                           { stop.order_.task_, stop.order_.run_ },
                           { OrderEnd::Done, {} });
      }
      restarts = OrdersOf<TargetStart>(orders);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), restarts.size());
    CPPUNIT_ASSERT(restarts[0].order_.task_ == lost.order_.task_);
  }

  /// The target answers the hold before the probe, but the answers arrive in
  /// the opposite order.
  void AnOutdatedHoldAnswerIsIgnored()
  {
    TargetStart second = StartBesideHold();
    HoldAnswer old = MakeHoldAnswer({ firstRun_ });
    LeaveUnanswered(second);
    auto probes = OrdersOf<TargetHold>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), probes.size());
    HoldAnswer now = MakeHoldAnswer({});
    now.ended_.push_back(
      { 1, firstRun_.task_, firstRun_.run_, RunEnd::Done, "" });
    now.running_.push_back(
      { second.order_.task_, second.order_.run_, "", 10, 0 });
    Answer(probes[0], now);
    scheduler_->OnHold("t1", old);
    PoolReport report = scheduler_->Report();
    CPPUNIT_ASSERT_EQUAL(1, report.targets_.at(0).runs_);
  }

  /// Guards against saving changes in the order of job ids: with 1,500 ends a
  /// second, jobs with high ids would be shown as complete seconds after they
  /// have ended. Original case: trouble-1 on psig-shed-grown.
  void ChangesAreSavedByAge()
  {
    constexpr int kJobs = 40;
    for (int i = 0; i < kJobs; ++i) {
      scheduler_->AddJob(WideJob(NumberedId(i), 1, {}), kFence + 1);
    }
    for (int i = kJobs - 1; i >= 0; --i) {
      scheduler_->CancelJob(NumberedId(i));
    }
    auto saves = OrdersOf<SaveProgress>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), saves.size());
    int expected = kJobs;
    for (const SaveProgress& save : saves) {
      for (const SaveProgress::Entry& entry : save.entries_) {
        CPPUNIT_ASSERT_EQUAL(NumberedId(--expected), entry.job_);
      }
    }
    // The rest waits for a transaction in flight.
    CPPUNIT_ASSERT(OrdersOf<SaveProgress>(scheduler_->Decide()).empty());
    scheduler_->OnSaved(saves[0], 99);
    scheduler_->OnSaved(saves[1], 99);
    auto rest = OrdersOf<SaveProgress>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rest.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), rest[0].entries_.size());
  }

  void EndedJobsAreSavedFirst()
  {
    JobRecord periodic = PeriodicRecord();
    periodic.id_ = NumberedId(0);
    scheduler_->AddJob(periodic, kFence + 1);
    Decide(); // the save of its occurrences fails
    scheduler_->AddJob(WideJob(NumberedId(1), 1, {}), kFence + 1);
    scheduler_->CancelJob(NumberedId(1));
    clock_.Advance(Millis(150));
    auto saves = OrdersOf<SaveProgress>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), saves.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), saves[0].entries_.size());
    CPPUNIT_ASSERT_EQUAL(NumberedId(1), saves[0].entries_[0].job_);
  }

  /// Guards against a replaced pool manager that goes on calling for seconds
  /// after the store refused it: it must not allow starts again on targets that
  /// its successor is about to move. Original case: incident inc-f322 on
  /// psig-shed.
  void AnEarlierPoolManagerIsIgnored()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    std::vector<std::string> vacating{ "t1" };
    CPPUNIT_ASSERT(scheduler_->SetVacating(20, vacating));
    CPPUNIT_ASSERT(!scheduler_->SetVacating(19, {}));
    AddJob(kFence + 1);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(Step()).empty());
    CPPUNIT_ASSERT(scheduler_->SetVacating(21, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

  /// A roster without the target is being saved when the target stops vacating.
  /// If the target got starts at once, a successor would not ask it for its
  /// runs.
  void TargetsLeavingTheRosterGetNoStarts()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    std::vector<std::string> vacating{ "t1" };
    CPPUNIT_ASSERT(scheduler_->SetVacating(20, vacating));
    clock_.Advance(Millis(1000));
    auto rosters = OrdersOf<SaveRoster>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rosters.size());
    CPPUNIT_ASSERT(rosters[0].targets_.empty());
    CPPUNIT_ASSERT(scheduler_->SetVacating(20, {}));
    AddJob(kFence + 1);
    CPPUNIT_ASSERT(OrdersOf<TargetStart>(scheduler_->Decide()).empty());
    scheduler_->OnRosterSaved(true);
    rosters = OrdersOf<SaveRoster>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rosters.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rosters[0].targets_.size());
    scheduler_->OnRosterSaved(true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), OrdersOf<TargetStart>(Step()).size());
  }

private:
  /// Lets a serving and a best-effort task run on t1, with the tail latency of
  /// the first at aTailMs of an objective of 40 ms. Returns the pace order.
  TargetPace SlowDown(std::int64_t aTailMs)
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    JobRecord record = Record();
    record.spec_.steps_[0].longRunning_ = true;
    record.spec_.steps_[0].latencyObjective_ = Millis(40);
    scheduler_->AddJob(record, kFence + 1);
    record.id_ = "00000000000000bb";
    record.spec_.steps_[0].latencyObjective_ = Millis(0);
    record.spec_.steps_[0].bestEffort_ = true;
    scheduler_->AddJob(record, kFence + 1);
    auto starts = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
    std::vector<ReportedRun> listedRuns;
    for (const TargetStart& start : starts) {
      AcknowledgeStart(start);
      bool serves = start.order_.task_.job_ != record.id_;
      listedRuns.push_back({ start.order_.task_,
                             start.order_.run_,
                             "",
                             100,
                             serves ? aTailMs : 500 });
    }
    Step();
    AnswerHold("t1", listedRuns);
    auto paces = OrdersOf<TargetPace>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), paces.size());
    return paces[0];
  }

  /// Returns the number of starts that a leader sends at once of a backlog of
  /// 40 tasks.
  std::size_t StartsOfABacklog(bool aIsLate)
  {
    setUp();
    for (const char* id : { "t1", "t2", "t3", "t4", "t5" }) {
      Register(id);
    }
    Decide();
    for (const char* id : { "t1", "t2", "t3", "t4", "t5" }) {
      AnswerHold(id, {});
    }
    for (int i = 0; i < 10; ++i) {
      if (aIsLate) {
        scheduler_->NoteLateness(Millis(200));
      }
      JobRecord record = Record();
      record.id_ = "00000000000000" + std::to_string(10 + i);
      record.spec_.steps_[0].tasks_ = 4;
      record.spec_.steps_[0].taskResources_ = { 500, 10, 0 };
      scheduler_->AddJob(record, kFence + 1);
    }
    return OrdersOf<TargetStart>(Step()).size();
  }
  using Orders = std::vector<SchedulerOrder>;

  static std::string NumberedId(int aNumber)
  {
    return std::to_string(1000000000000000 + aNumber);
  }

  /// Orders the start of a second task while the hold for the first one waits.
  TargetStart StartBesideHold()
  {
    TargetStart first = StartOne();
    firstRun_ = { first.order_.task_, first.order_.run_, "", 10, 0 };
    Step();
    scheduler_->AddJob(WideJob("00000000000000bb", 1, Millis(9000)),
                       kFence + 1);
    auto starts = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    clock_.Advance(Millis(200));
    return starts[0];
  }

  struct OverloadResult
  {
    int jobs_ = 0;
    int ended_ = 0;
    int inTime_ = 0;
  };

  /// Returns the pause between jobs of 8 tasks with which five times as many
  /// jobs arrive as the targets can run.
  static Millis PauseBetweenJobs(int aTargets, Millis aTask)
  {
    return aTask / (5 * aTargets);
  }

  OverloadResult SimulateOverload(int aTargets,
                                  Millis aLoadTime,
                                  Millis aTask,
                                  Millis aObjective)
  {
    savesSucceed_ = true;
    for (int i = 0; i < aTargets; ++i) {
      Register("t" + std::to_string(i));
    }
    for (const TargetHold& hold : OrdersOf<TargetHold>(Decide())) {
      AnswerHold(hold.target_, {});
    }
    OverloadResult result;
    std::map<std::string, std::map<RunKey, Millis>> running;
    std::map<std::string, std::uint64_t> ends;
    std::map<std::string, Millis> submittedAt;
    std::set<std::string> open;
    Millis begin = clock_.Now();
    Millis nextJob = begin;
    Millis deadline = begin + aLoadTime * 10;
    while (clock_.Now() < begin + aLoadTime ||
           (!open.empty() && clock_.Now() < deadline)) {
      clock_.Advance(Millis(10));
      while (nextJob <= clock_.Now() && nextJob < begin + aLoadTime) {
        std::string id = NumberedId(result.jobs_);
        JobRecord record = WideJob(id, 8, aObjective - aTask);
        record.spec_.steps_[0].estimate_ = aTask;
        scheduler_->AddJob(record, kFence + 1);
        submittedAt[id] = clock_.Now();
        open.insert(id);
        ++result.jobs_;
        nextJob += PauseBetweenJobs(aTargets, aTask);
      }
      Orders orders = Decide();
      for (const TargetStart& start : OrdersOf<TargetStart>(orders)) {
        running[start.target_][{ start.order_.task_, start.order_.run_ }] =
          clock_.Now();
        AcknowledgeStart(start);
      }
      for (int i = 0; i < aTargets; ++i) {
        std::string target = "t" + std::to_string(i);
        HoldAnswer answer = MakeHoldAnswer({});
        std::erase_if(running[target], [&](const auto& aEntry) {
          bool ended = clock_.Now() - aEntry.second >= aTask;
          if (ended) {
            answer.ended_.push_back({ ++ends[target],
                                      aEntry.first.first,
                                      aEntry.first.second,
                                      RunEnd::Done,
                                      "" });
          } else {
            answer.running_.push_back(
              { aEntry.first.first, aEntry.first.second, "", 10, 0 });
          }
          return ended;
        });
        scheduler_->OnHold(target, answer);
      }
      std::erase_if(open, [&](const std::string& aJob) {
        bool ended = scheduler_->StateOf(aJob) == JobState::Complete;
        result.ended_ += ended ? 1 : 0;
        bool inTime = ended && clock_.Now() - submittedAt[aJob] <= aObjective;
        result.inTime_ += inTime ? 1 : 0;
        return ended;
      });
    }
    return result;
  }

  /// Returns how many jobs are in time with first come, first served: the
  /// baseline.
  static int FirstComeFirstServed(int aTargets,
                                  Millis aLoadTime,
                                  Millis aTask,
                                  Millis aObjective)
  {
    int inTime = 0;
    std::vector<Millis> freeAt(static_cast<std::size_t>(aTargets), Millis(0));
    for (Millis at{ 0 }; at < aLoadTime;
         at += PauseBetweenJobs(aTargets, aTask)) {
      auto first = std::min_element(freeAt.begin(), freeAt.end());
      *first = std::max(*first, at) + aTask;
      inTime += *first <= at + aObjective ? 1 : 0;
    }
    return inTime;
  }

  JobRecord WideJob(const std::string& aId,
                    int aTasks,
                    Millis aObjectiveBase) const
  {
    JobRecord record = Record();
    record.id_ = aId;
    record.objectiveBase_ = aObjectiveBase;
    record.acceptedAt_ = clock_.Now();
    record.spec_.steps_[0].tasks_ = aTasks;
    return record;
  }

  /// Returns a periodic job; two of its occurrences are due.
  JobRecord PeriodicRecord() const
  {
    JobRecord record = Record();
    record.spec_.occurrences_ = 4;
    record.spec_.interval_ = Millis(1000);
    record.spec_.firstDue_ = clock_.Now() - Millis(1500);
    return record;
  }

  void LeaveUnanswered(const TargetStart& aStart)
  {
    scheduler_->OnStart(aStart.target_,
                        { aStart.order_.task_, aStart.order_.run_ },
                        { OrderEnd::NoAnswer, {} });
  }

  /// Confirms the stops of all runs, then reports that they have ended.
  void StopAll(const std::vector<TargetStart>& aStarts)
  {
    for (int i = 0; i < 20; ++i) {
      for (const TargetStop& stop : OrdersOf<TargetStop>(Step())) {
        scheduler_->OnStop(stop.target_,
                           { stop.order_.task_, stop.order_.run_ },
                           { OrderEnd::Done, {} });
      }
    }
    HoldAnswer answer = MakeHoldAnswer({});
    std::uint64_t number = 0;
    for (const TargetStart& start : aStarts) {
      answer.ended_.push_back({ ++number,
                                start.order_.task_,
                                start.order_.run_,
                                RunEnd::Stopped,
                                "" });
    }
    scheduler_->OnHold(aStarts[0].target_, answer);
  }

  template<typename T>
  static std::vector<T> OrdersOf(const Orders& aOrders)
  {
    std::vector<T> found;
    for (const SchedulerOrder& order : aOrders) {
      if (const auto* match = std::get_if<T>(&order)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  /// Calls Decide() on the scheduler and answers its saves as savesSucceed_ and
  /// rosterSavesSucceed_ say. Returns all orders.
  Orders Decide()
  {
    Orders orders = scheduler_->Decide();
    if (!OrdersOf<SaveRoster>(orders).empty()) {
      scheduler_->OnRosterSaved(rosterSavesSucceed_);
    }
    for (const SaveProgress& save : OrdersOf<SaveProgress>(orders)) {
      scheduler_->OnSaved(save, savesSucceed_ ? 99 : 0);
    }
    return orders;
  }

  /// Advances the clock by 10 ms, then decides.
  Orders Step()
  {
    clock_.Advance(Millis(10));
    return Decide();
  }

  static JobRecord Record()
  {
    JobRecord record;
    record.id_ = "00000000000000aa";
    record.service_ = "stitch";
    record.queue_ = "q";
    StepSpec step;
    step.taskResources_ = { 1000, 1024, 0 };
    step.estimate_ = Millis(500);
    record.spec_.steps_.push_back(step);
    return record;
  }

  void AddJob(Revision aCreated) { scheduler_->AddJob(Record(), aCreated); }

  void Register(const std::string& aId, const std::string& aVm = "")
  {
    TargetInfo info;
    info.id_ = aId;
    info.vm_ = aVm;
    info.service_ = "stitch";
    info.capacity_ = { 8000, 32768, 0 };
    info.labels_ = { "a", "r1" };
    scheduler_->RegisterTarget(info);
  }

  HoldAnswer MakeHoldAnswer(std::vector<ReportedRun> aRunning) const
  {
    HoldAnswer answer;
    answer.end_ = OrderEnd::Done;
    answer.clock_ = clock_.Now().count();
    answer.startedAt_ = 1;
    answer.running_ = std::move(aRunning);
    return answer;
  }

  void AnswerHold(const std::string& aTarget, std::vector<ReportedRun> aRunning)
  {
    scheduler_->OnHold(aTarget, MakeHoldAnswer(std::move(aRunning)));
  }

  void Answer(const TargetHold& aHold, const HoldAnswer& aAnswer)
  {
    if (aHold.order_.isProbe_) {
      scheduler_->OnProbe(aHold.target_, aAnswer);
    } else {
      scheduler_->OnHold(aHold.target_, aAnswer);
    }
  }

  void AcknowledgeStart(const TargetStart& aStart)
  {
    scheduler_->OnStart(aStart.target_,
                        { aStart.order_.task_, aStart.order_.run_ },
                        { OrderEnd::Done, {} });
  }

  /// Starts one task on t1, which lists it as running.
  TargetStart StartOne()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    AddJob(kFence + 1);
    auto starts = OrdersOf<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    AcknowledgeStart(starts[0]);
    Step();
    AnswerHold(
      "t1", { { starts[0].order_.task_, starts[0].order_.run_, "", 10, 0 } });
    return starts[0];
  }

  /// Makes the scheduler a successor whose saved roster names t1 and t2; only
  /// t1 has answered.
  void TakeOver()
  {
    std::vector<TargetInfo> roster(2);
    roster[0].id_ = "t1";
    roster[1].id_ = "t2";
    roster[1].vm_ = "v2";
    scheduler_->LoadRoster(roster);
    Register("t1");
    Decide();
    AnswerHold("t1", {});
  }

  /// The same, with a job that was accepted before and what t1 lists.
  void TakeOver(std::vector<ReportedRun> aRunning,
                std::vector<EndedRun> aEnded,
                const JobRecord& aRecord)
  {
    scheduler_->AddJob(aRecord, kFence - 1);
    std::vector<TargetInfo> roster(2);
    roster[0].id_ = "t1";
    roster[1].id_ = "t2";
    scheduler_->LoadRoster(roster);
    Register("t1");
    Decide();
    HoldAnswer answer = MakeHoldAnswer(std::move(aRunning));
    answer.ended_ = std::move(aEnded);
    scheduler_->OnHold("t1", answer);
  }

  static JobRecord TwoLongRunningRecord()
  {
    JobRecord record = Record();
    record.spec_.steps_[0].tasks_ = 2;
    record.spec_.steps_[0].longRunning_ = true;
    record.spec_.steps_[0].maxUnavailableTasks_ = 1;
    return record;
  }

  /// Starts two long-running tasks on t1, which are at work, beside an empty
  /// t2.
  void StartTwoLongRunning()
  {
    Register("t1");
    Decide();
    AnswerHold("t1", {});
    scheduler_->AddJob(TwoLongRunningRecord(), kFence + 1);
    std::vector<ReportedRun> runs;
    for (const TargetStart& start : OrdersOf<TargetStart>(Step())) {
      AcknowledgeStart(start);
      runs.push_back({ start.order_.task_, start.order_.run_, "", 100, 0 });
    }
    Register("t2");
    Step();
    AnswerHold("t1", runs);
    AnswerHold("t2", {});
  }

  static JobRecord TwoStepRecord()
  {
    JobRecord record = Record();
    record.spec_.steps_.push_back(record.spec_.steps_[0]);
    record.spec_.steps_[1].after_ = { 0 };
    return record;
  }

  /// Returns how many runs follow, while t2 is silent, the failure of one that
  /// t1 listed after a take-over.
  std::size_t RestartsAfterATakeOver(bool aSpeculative)
  {
    JobRecord record = Record();
    record.maxAttempts_ = 3;
    record.spec_.steps_[0].speculative_ = aSpeculative;
    TaskName task{ record.id_, 0, 0, 0 };
    TakeOver({ { task, 5, "", 50, 0 } }, {}, record);
    Step();
    HoldAnswer answer = MakeHoldAnswer({});
    answer.ended_.push_back({ 1, task, 5, RunEnd::Failed, "" });
    scheduler_->OnHold("t1", answer);
    return OrdersOf<TargetStart>(Step()).size();
  }

  /// Lets one target leave all holds unanswered for aTime while the others
  /// answer. Returns the first starts that follow.
  std::vector<TargetStart> SilenceFor(const std::string& aTarget, Millis aTime)
  {
    std::vector<TargetStart> starts;
    Millis end = clock_.Now() + aTime;
    HoldAnswer none;
    none.end_ = OrderEnd::NoAnswer;
    scheduler_->OnHold(aTarget, none); // the hold in flight
    while (clock_.Now() < end) {
      clock_.Advance(Millis(50));
      Orders orders = Decide();
      for (const TargetHold& hold : OrdersOf<TargetHold>(orders)) {
        Answer(hold, hold.target_ == aTarget ? none : MakeHoldAnswer({}));
      }
      for (const TargetStart& start : OrdersOf<TargetStart>(orders)) {
        starts.push_back(start);
      }
      if (!starts.empty()) {
        break;
      }
    }
    return starts;
  }

  void ReportEnd(const TargetStart& aStart, RunEnd aRunEnd)
  {
    Step();
    HoldAnswer answer = MakeHoldAnswer({});
    answer.ended_.push_back(
      { 1, aStart.order_.task_, aStart.order_.run_, aRunEnd, "" });
    scheduler_->OnHold(aStart.target_, answer);
  }

  /// Returns the end number that the next hold acknowledges.
  std::uint64_t Acknowledged(bool aSavesSucceed)
  {
    constexpr Millis kUntilSaveRetry{ 150 };
    constexpr Millis kUntilNextHold{ 500 };
    savesSucceed_ = aSavesSucceed;
    clock_.Advance(kUntilSaveRetry);
    Step();
    if (!aSavesSucceed) {
      clock_.Advance(kUntilNextHold);
    }
    auto holds = OrdersOf<TargetHold>(Step());
    CPPUNIT_ASSERT(!holds.empty());
    AnswerHold(holds[0].target_, {});
    return holds[0].order_.acknowledged_;
  }

  ManualClock clock_;
  bool savesSucceed_ = false; ///< saves of progress succeed
  bool rosterSavesSucceed_ = true;
  ReportedRun firstRun_;
  std::unique_ptr<Scheduler> scheduler_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);

} // namespace coltsfootshed
