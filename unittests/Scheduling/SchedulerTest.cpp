/// \file
/// Single decisions of the scheduler, each from a failure that was played.

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
  CPPUNIT_TEST(LapsesNeedCertainty);
  CPPUNIT_TEST(NothingIsRenewedInDoubt);
  CPPUNIT_TEST(UnknownRunsBlockTheirTarget);
  CPPUNIT_TEST(OldJobsWaitForAllTargets);
  CPPUNIT_TEST(NewJobsDoNotWait);
  CPPUNIT_TEST(EndsAreAcknowledgedOnceSaved);
  CPPUNIT_TEST(CompletionIsShownOnceSaved);
  CPPUNIT_TEST(EvacuationKeepsAvailability);
  CPPUNIT_TEST(FillingTasksGiveWay);
  CPPUNIT_TEST(TicketsAreAskedForFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    SchedulerSettings settings;
    settings.service_ = "stitch";
    settings.fence_ = kFence;
    saves_ = false;
    scheduler_ = std::make_unique<Scheduler>(clock_, clock_, settings);
  }

  /// A manager took a VM for empty whose new leader had not looked yet.
  void TargetsThatAreNotHeldAreNotReported()
  {
    Register("t1");
    CPPUNIT_ASSERT(scheduler_->Report().targets_.empty());
    Decide();
    Hold("t1", {});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler_->Report().targets_.size());
  }

  void ASilentTargetsLeaseRunsOut()
  {
    StartOne();
    Register("t2");
    Step();
    Hold("t2", {});
    auto starts = SilenceFor("t1", Millis(9000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), starts[0].target_);
  }

  /// Another scheduler may have renewed what looks lapsed from here.
  void LapsesNeedCertainty()
  {
    StartOne();
    Register("t2");
    Step();
    Hold("t2", {});
    scheduler_->SetAuthority(Authority::StoreAway);
    CPPUNIT_ASSERT(SilenceFor("t1", Millis(9000)).empty());
  }

  void NothingIsRenewedInDoubt()
  {
    StartOne();
    scheduler_->SetAuthority(Authority::Doubtful);
    clock_.Advance(Millis(2000));
    for (const TargetHold& hold : Of<TargetHold>(Decide())) {
      CPPUNIT_ASSERT(!hold.order_.leaseUntil_.has_value());
    }
  }

  void UnknownRunsBlockTheirTarget()
  {
    Register("t1");
    Decide();
    Hold("t1", { { TaskName{ "00000000000000ff", 0, 0, 0 }, 5, "", 50, 0 } });
    AddJob(kFence + 1);
    CPPUNIT_ASSERT(Of<TargetStart>(Step()).empty());
  }

  void OldJobsWaitForAllTargets()
  {
    Takeover();
    AddJob(kFence - 1);
    CPPUNIT_ASSERT(Of<TargetStart>(Step()).empty());
    CPPUNIT_ASSERT(!SilenceFor("t2", Millis(6000)).empty());
  }

  void NewJobsDoNotWait()
  {
    Takeover();
    AddJob(kFence + 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Of<TargetStart>(Step()).size());
  }

  void EndsAreAcknowledgedOnceSaved()
  {
    TargetStart start = StartOne();
    End(start, RunEnd::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Acknowledged(false));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Acknowledged(true));
  }

  void CompletionIsShownOnceSaved()
  {
    TargetStart start = StartOne();
    End(start, RunEnd::Done);
    const std::string& job = start.order_.task_.job_;
    CPPUNIT_ASSERT(scheduler_->StateOf(job) == JobState::Running);
    Acknowledged(true);
    CPPUNIT_ASSERT(scheduler_->StateOf(job) == JobState::Complete);
  }

  /// Two lasting tasks, one of which may be away: one stop at a time.
  void EvacuationKeepsAvailability()
  {
    Register("t1");
    Register("t2");
    Decide();
    Hold("t1", {});
    Hold("t2", {});
    JobRecord record = Record();
    record.spec_.steps_[0].tasks_ = 2;
    record.spec_.steps_[0].lasting_ = true;
    record.spec_.steps_[0].mayMiss_ = 1;
    scheduler_->AddJob(record, kFence + 1);
    auto starts = Of<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
    std::string crowded = starts[0].target_;
    CPPUNIT_ASSERT_EQUAL(crowded, starts[1].target_);
    std::vector<RunningRow> rows;
    for (const TargetStart& start : starts) {
      Started(start);
      rows.push_back({ start.order_.task_, start.order_.run_, "", 100, 0 });
    }
    Step();
    Hold(crowded, rows);
    std::vector<std::string> vacating = { crowded };
    scheduler_->SetVacating(vacating);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Of<TargetStop>(Step()).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Of<TargetStop>(Step()).size());
  }

  void FillingTasksGiveWay()
  {
    Register("t1");
    Decide();
    Hold("t1", {});
    JobRecord record = Record();
    record.spec_.steps_[0].lasting_ = true;
    record.spec_.steps_[0].latencyTarget_ = Millis(40);
    scheduler_->AddJob(record, kFence + 1);
    record.id_ = "00000000000000bb";
    record.spec_.steps_[0].latencyTarget_ = Millis(0);
    record.spec_.steps_[0].fills_ = true;
    scheduler_->AddJob(record, kFence + 1);
    auto starts = Of<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
    std::vector<RunningRow> rows;
    for (const TargetStart& start : starts) {
      Started(start);
      bool serves = start.order_.task_.job_ != record.id_;
      rows.push_back(
        { start.order_.task_, start.order_.run_, "", 100, serves ? 39 : 500 });
    }
    Step();
    Hold("t1", rows);
    auto paces = Of<TargetPace>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), paces.size());
    CPPUNIT_ASSERT(paces[0].order_.percent_ < 100);
    CPPUNIT_ASSERT_EQUAL(record.id_, paces[0].order_.task_.job_);
  }

  void TicketsAreAskedForFirst()
  {
    Register("t1");
    Register("t2");
    Decide();
    Hold("t1", {});
    Hold("t2", {});
    JobRecord record = Record();
    record.advised_ = true;
    scheduler_->AddJob(record, kFence + 1);
    auto orders = Step();
    CPPUNIT_ASSERT(Of<TargetStart>(orders).empty());
    auto asks = Of<AskAdvice>(orders);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), asks.size());
    Advice advice;
    advice.answered_ = true;
    advice.validFor_ = Millis(3000);
    advice.granted_ = { { "t2", "ticket-2" } };
    scheduler_->OnAdvice(asks[0].step_, asks[0].targets_, advice);
    auto starts = Of<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), starts[0].target_);
    CPPUNIT_ASSERT_EQUAL(std::string("ticket-2"), starts[0].order_.ticket_);
  }

private:
  using Orders = std::vector<SchedulerOrder>;

  template<typename T>
  static std::vector<T> Of(const Orders& aOrders)
  {
    std::vector<T> found;
    for (const SchedulerOrder& order : aOrders) {
      if (const auto* match = std::get_if<T>(&order)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  /// Rosters are saved at once; all else is returned.
  Orders Decide()
  {
    Orders orders = scheduler_->Decide();
    if (!Of<SaveRoster>(orders).empty()) {
      scheduler_->OnRosterSaved(true);
    }
    for (const SaveProgress& save : Of<SaveProgress>(orders)) {
      scheduler_->OnSaved(save, saves_ ? 99 : 0);
    }
    return orders;
  }

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
    step.each_ = { 1000, 1024, 0 };
    step.estimate_ = Millis(500);
    record.spec_.steps_.push_back(step);
    return record;
  }

  void AddJob(Revision aCreated) { scheduler_->AddJob(Record(), aCreated); }

  void Register(const std::string& aId)
  {
    TargetInfo info;
    info.id_ = aId;
    info.service_ = "stitch";
    info.capacity_ = { 8000, 32768, 0 };
    info.labels_ = { "a", "r1" };
    scheduler_->RegisterTarget(info);
  }

  HoldAnswer Listed(std::vector<RunningRow> aRunning) const
  {
    HoldAnswer answer;
    answer.end_ = OrderEnd::Done;
    answer.clock_ = clock_.Now().count();
    answer.born_ = 1;
    answer.running_ = std::move(aRunning);
    return answer;
  }

  void Hold(const std::string& aTarget, std::vector<RunningRow> aRunning)
  {
    scheduler_->OnHold(aTarget, Listed(std::move(aRunning)));
  }

  void Started(const TargetStart& aStart)
  {
    scheduler_->OnStart(aStart.target_,
                        { aStart.order_.task_, aStart.order_.run_ },
                        { OrderEnd::Done, {} });
  }

  /// One task at work on t1.
  TargetStart StartOne()
  {
    Register("t1");
    Decide();
    Hold("t1", {});
    AddJob(kFence + 1);
    auto starts = Of<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    Started(starts[0]);
    Step();
    Hold("t1",
         { { starts[0].order_.task_, starts[0].order_.run_, "", 10, 0 } });
    return starts[0];
  }

  /// The saved roster names two targets; one has answered.
  void Takeover()
  {
    std::vector<TargetInfo> roster(2);
    roster[0].id_ = "t1";
    roster[1].id_ = "t2";
    scheduler_->LoadRoster(roster);
    Register("t1");
    Decide();
    Hold("t1", {});
  }

  /// One target leaves all holds unanswered, the others answer; returns the
  /// starts that follow.
  std::vector<TargetStart> SilenceFor(const std::string& aTarget, Millis aTime)
  {
    std::vector<TargetStart> starts;
    Millis end = clock_.Now() + aTime;
    HoldAnswer none;
    none.end_ = OrderEnd::NoAnswer;
    scheduler_->OnHold(aTarget, none); // the one under way
    while (clock_.Now() < end) {
      clock_.Advance(Millis(50));
      Orders orders = Decide();
      for (const TargetHold& hold : Of<TargetHold>(orders)) {
        scheduler_->OnHold(hold.target_,
                           hold.target_ == aTarget ? none : Listed({}));
      }
      for (const TargetStart& start : Of<TargetStart>(orders)) {
        starts.push_back(start);
      }
      if (!starts.empty()) {
        break;
      }
    }
    return starts;
  }

  void End(const TargetStart& aStart, RunEnd aHow)
  {
    Step();
    HoldAnswer answer = Listed({});
    answer.ended_.push_back(
      { 1, aStart.order_.task_, aStart.order_.run_, aHow, "" });
    scheduler_->OnHold(aStart.target_, answer);
  }

  /// The end number that the next hold acknowledges.
  std::uint64_t Acknowledged(bool aSaves)
  {
    constexpr Millis kSaveIsTriedAgain{ 150 };
    constexpr Millis kHoldWaitsNoLonger{ 500 };
    saves_ = aSaves;
    clock_.Advance(kSaveIsTriedAgain);
    Step();
    if (!aSaves) {
      clock_.Advance(kHoldWaitsNoLonger);
    }
    auto holds = Of<TargetHold>(Step());
    CPPUNIT_ASSERT(!holds.empty());
    Hold(holds[0].target_, {});
    return holds[0].order_.acknowledged_;
  }

  ManualClock clock_;
  bool saves_ = false; ///< the store takes progress
  std::unique_ptr<Scheduler> scheduler_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);

} // namespace coltsfootshed
