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
  CPPUNIT_TEST(EndsOfAPredecessorsOccurrenceCount);
  CPPUNIT_TEST(RunsOfAPredecessorsOccurrenceAreKept);
  CPPUNIT_TEST(BegunStepsAreFinishedFirst);
  CPPUNIT_TEST(AnOverloadedPoolServesWhatCanBeInTime);
  CPPUNIT_TEST(DoubtedTargetsAreTriedOneByOne);
  CPPUNIT_TEST(ARiseOfArrivalsShowsAtOnce);
  CPPUNIT_TEST(ALostStartIsFoundOutBesideTheHold);
  CPPUNIT_TEST(AnOvertakenAnswerIsDropped);
  CPPUNIT_TEST(ChangesAreSavedByAge);
  CPPUNIT_TEST(EndedJobsAreSavedFirst);
  CPPUNIT_TEST(AnEarlierPoolManagerIsNotHeard);
  CPPUNIT_TEST(WhatLeavesTheRosterTakesNoStarts);
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
    scheduler_->SetVacating(1, vacating);
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

  /// TWICE on a variant of psig-shed with scheduled jobs (scale-2, seed
  /// 497181948306): the successor had not created the occurrence yet, dropped
  /// its ends and acknowledged them.
  void EndsOfAPredecessorsOccurrenceCount()
  {
    Takeover();
    scheduler_->AddJob(TimedRecord(), kFence - 1);
    HoldAnswer answer = Listed({});
    answer.ended_.push_back(
      { 1, TaskName{ "00000000000000aa", 1, 0, 0 }, 3, RunEnd::Done, "" });
    scheduler_->OnHold("t1", answer);
    saves_ = true;
    for (const TargetStart& start : SilenceFor("t2", Millis(9000))) {
      CPPUNIT_ASSERT(start.order_.task_.occurrence_ != 1);
    }
  }

  /// The predecessor's time of day may be ahead.
  void RunsOfAPredecessorsOccurrenceAreKept()
  {
    Takeover();
    JobRecord record = TimedRecord();
    record.spec_.occurrences_ = 1;
    record.spec_.firstDue_ = clock_.Now() + Millis(300);
    scheduler_->AddJob(record, kFence - 1);
    TaskName task{ "00000000000000aa", 0, 0, 0 };
    Hold("t1", { { task, 3, "", 50, 0 } });
    CPPUNIT_ASSERT(Of<TargetStop>(Step()).empty());
    Register("t2");
    Hold("t2", {});
    clock_.Advance(Millis(300)); // it is due here as well
    CPPUNIT_ASSERT(Of<TargetStart>(Step()).empty());
  }

  /// Half of a step that waits for the rest has spent its room in vain.
  void BegunStepsAreFinishedFirst()
  {
    Register("t1"); // 8 cores
    Decide();
    Hold("t1", {});
    scheduler_->AddJob(Wide("00000000000000aa", 12, Millis(2000)), kFence + 1);
    auto first = Of<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), first.size());
    for (const TargetStart& start : first) {
      Started(start);
    }
    // Its slack is less, but none of its tasks has started.
    scheduler_->AddJob(Wide("00000000000000bb", 4, Millis(1000)), kFence + 1);
    HoldAnswer answer = Listed({});
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
    auto next = Of<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), next.size());
    for (const TargetStart& start : next) {
      CPPUNIT_ASSERT_EQUAL(std::string("00000000000000aa"),
                           start.order_.task_.job_);
    }
  }

  /// Replays a queue that asks for five times what its pool holds, and prints
  /// what is served in time beside first come first served, which this load
  /// makes late throughout after the first seconds.
  void AnOverloadedPoolServesWhatCanBeInTime()
  {
    constexpr int kTargets = 4;
    constexpr Millis kTurn{ 4500 };
    constexpr Millis kTask{ 1000 };
    constexpr Millis kObjective{ 2200 };
    OverloadResult served = ReplayOverload(kTargets, kTurn, kTask, kObjective);
    // 8 tasks at once on each target and second; a job has 8 tasks.
    int possible = kTargets * static_cast<int>((kTurn + kObjective) / kTask);
    int fifo = FirstComeFirstServed(kTargets, kTurn, kTask, kObjective);
    CPPUNIT_ASSERT(served.inTime_ > fifo);
    CPPUNIT_ASSERT(served.inTime_ * 10 >= possible * 7);
    CPPUNIT_ASSERT_EQUAL(served.jobs_, served.ended_);
  }

  /// Starts that a target left unanswered and carried out late: others are
  /// not sent there together until it has answered.
  void DoubtedTargetsAreTriedOneByOne()
  {
    Register("t1");
    Decide();
    Hold("t1", {});
    scheduler_->AddJob(Wide("00000000000000aa", 8, Millis(9000)), kFence + 1);
    auto first = Of<TargetStart>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), first.size());
    clock_.Advance(Millis(400));
    for (const TargetStart& start : first) {
      Unanswered(start);
    }
    StopAll(first);
    std::vector<TargetStart> next;
    for (int i = 0; i < 20 && next.empty(); ++i) {
      next = Of<TargetStart>(Step());
    }
    constexpr int kAnswered = 3;
    for (int i = 0; i < kAnswered; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.size());
      CPPUNIT_ASSERT(Of<TargetStart>(Step()).empty());
      Started(next[0]);
      next = Of<TargetStart>(Step());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), next.size());
  }

  void ARiseOfArrivalsShowsAtOnce()
  {
    constexpr double kEachCpu = 8000.0; // 8 tasks of one core for 500 ms
    constexpr Millis kApart{ 10 };
    for (int i = 0; i < 10; ++i) {
      scheduler_->AddJob(Wide("00000000000000b" + std::to_string(i), 8, {}),
                         kFence + 1);
      clock_.Advance(kApart);
    }
    double rate = kEachCpu * 0.5 / (static_cast<double>(kApart.count()) / 1000);
    double shown = scheduler_->Report().arrivingCpu_;
    CPPUNIT_ASSERT(shown > 0.5 * rate);
    CPPUNIT_ASSERT(shown <= 2 * rate); // it may still rise
    // One job alone is no rise.
    setUp();
    scheduler_->AddJob(Wide("00000000000000c0", 8, {}), kFence + 1);
    CPPUNIT_ASSERT(scheduler_->Report().arrivingCpu_ <= kEachCpu);
  }

  /// A hold that waited told of the missing run up to 700 ms late, and with
  /// lost orders a task waited for two seconds.
  void ALostStartIsFoundOutBesideTheHold()
  {
    TargetStart lost = StartBesideHold();
    Unanswered(lost);
    std::vector<TargetStart> again;
    for (int i = 0; i < 20 && again.empty(); ++i) {
      Orders orders = Step();
      for (const TargetHold& hold : Of<TargetHold>(orders)) {
        CPPUNIT_ASSERT(hold.order_.isLook_);
        CPPUNIT_ASSERT(!hold.order_.leaseUntil_.has_value());
        Answer(hold, Listed({ firstRow_ }));
      }
      for (const TargetStop& stop : Of<TargetStop>(orders)) {
        scheduler_->OnStop(stop.target_,
                           { stop.order_.task_, stop.order_.run_ },
                           { OrderEnd::Done, {} });
      }
      again = Of<TargetStart>(orders);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), again.size());
    CPPUNIT_ASSERT(again[0].order_.task_ == lost.order_.task_);
  }

  /// The hold was answered before the look, and arrives after it.
  void AnOvertakenAnswerIsDropped()
  {
    TargetStart second = StartBesideHold();
    HoldAnswer old = Listed({ firstRow_ });
    Unanswered(second);
    auto looks = Of<TargetHold>(Step());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), looks.size());
    HoldAnswer now = Listed({});
    now.ended_.push_back(
      { 1, firstRow_.task_, firstRow_.run_, RunEnd::Done, "" });
    now.running_.push_back(
      { second.order_.task_, second.order_.run_, "", 10, 0 });
    Answer(looks[0], now);
    scheduler_->OnHold("t1", old);
    PoolReport report = scheduler_->Report();
    CPPUNIT_ASSERT_EQUAL(1, report.targets_.at(0).runs_);
  }

  /// trouble-1 on psig-shed-grown: with 1,500 ends a second, jobs with high
  /// ids were shown as complete seconds after they had ended.
  void ChangesAreSavedByAge()
  {
    constexpr int kJobs = 40;
    for (int i = 0; i < kJobs; ++i) {
      scheduler_->AddJob(Wide(NumberedId(i), 1, {}), kFence + 1);
    }
    for (int i = kJobs - 1; i >= 0; --i) {
      scheduler_->CancelJob(NumberedId(i));
    }
    auto saves = Of<SaveProgress>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), saves.size());
    int expected = kJobs;
    for (const SaveProgress& save : saves) {
      for (const SaveProgress::Entry& entry : save.entries_) {
        CPPUNIT_ASSERT_EQUAL(NumberedId(--expected), entry.job_);
      }
    }
    // The rest waits for a transaction under way.
    CPPUNIT_ASSERT(Of<SaveProgress>(scheduler_->Decide()).empty());
    scheduler_->OnSaved(saves[0], 99);
    scheduler_->OnSaved(saves[1], 99);
    auto rest = Of<SaveProgress>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rest.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), rest[0].entries_.size());
  }

  void EndedJobsAreSavedFirst()
  {
    JobRecord timed = TimedRecord();
    timed.id_ = NumberedId(0);
    scheduler_->AddJob(timed, kFence + 1);
    Decide(); // its occurrences are not saved at the first attempt
    scheduler_->AddJob(Wide(NumberedId(1), 1, {}), kFence + 1);
    scheduler_->CancelJob(NumberedId(1));
    clock_.Advance(Millis(150));
    auto saves = Of<SaveProgress>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), saves.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), saves[0].entries_.size());
    CPPUNIT_ASSERT_EQUAL(NumberedId(1), saves[0].entries_[0].job_);
  }

  /// Incident inc-f322 on psig-shed: a manager whom the store refused went on
  /// asking for seconds, and reopened targets that its successor was about to
  /// move away.
  void AnEarlierPoolManagerIsNotHeard()
  {
    Register("t1");
    Decide();
    Hold("t1", {});
    std::vector<std::string> closed{ "t1" };
    CPPUNIT_ASSERT(scheduler_->SetVacating(20, closed));
    CPPUNIT_ASSERT(!scheduler_->SetVacating(19, {}));
    AddJob(kFence + 1);
    CPPUNIT_ASSERT(Of<TargetStart>(Step()).empty());
    CPPUNIT_ASSERT(scheduler_->SetVacating(21, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Of<TargetStart>(Step()).size());
  }

  /// The roster without the target is under way when it is reopened: were it
  /// used at once, a successor would not ask it for its runs.
  void WhatLeavesTheRosterTakesNoStarts()
  {
    Register("t1");
    Decide();
    Hold("t1", {});
    std::vector<std::string> closed{ "t1" };
    CPPUNIT_ASSERT(scheduler_->SetVacating(20, closed));
    clock_.Advance(Millis(1000));
    auto rosters = Of<SaveRoster>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rosters.size());
    CPPUNIT_ASSERT(rosters[0].targets_.empty());
    CPPUNIT_ASSERT(scheduler_->SetVacating(20, {}));
    AddJob(kFence + 1);
    CPPUNIT_ASSERT(Of<TargetStart>(scheduler_->Decide()).empty());
    scheduler_->OnRosterSaved(true);
    rosters = Of<SaveRoster>(scheduler_->Decide());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rosters.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rosters[0].targets_.size());
    scheduler_->OnRosterSaved(true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Of<TargetStart>(Step()).size());
  }

private:
  using Orders = std::vector<SchedulerOrder>;

  static std::string NumberedId(int aNumber)
  {
    return std::to_string(1000000000000000 + aNumber);
  }

  /// Starts a second task while the hold for the first one waits.
  TargetStart StartBesideHold()
  {
    TargetStart first = StartOne();
    firstRow_ = { first.order_.task_, first.order_.run_, "", 10, 0 };
    Step();
    scheduler_->AddJob(Wide("00000000000000bb", 1, Millis(9000)), kFence + 1);
    auto starts = Of<TargetStart>(Step());
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

  /// Pause between jobs of 8 tasks so that five times as many come as fit.
  static Millis PauseFor(int aTargets, Millis aTask)
  {
    return aTask / (5 * aTargets);
  }

  OverloadResult ReplayOverload(int aTargets,
                                Millis aTurn,
                                Millis aTask,
                                Millis aObjective)
  {
    saves_ = true;
    for (int i = 0; i < aTargets; ++i) {
      Register("t" + std::to_string(i));
    }
    for (const TargetHold& hold : Of<TargetHold>(Decide())) {
      Hold(hold.target_, {});
    }
    OverloadResult result;
    std::map<std::string, std::map<RunKey, Millis>> running;
    std::map<std::string, std::uint64_t> ends;
    std::map<std::string, Millis> came;
    std::set<std::string> open;
    Millis begin = clock_.Now();
    Millis nextJob = begin;
    Millis giveUp = begin + aTurn * 10;
    while (clock_.Now() < begin + aTurn ||
           (!open.empty() && clock_.Now() < giveUp)) {
      clock_.Advance(Millis(10));
      while (nextJob <= clock_.Now() && nextJob < begin + aTurn) {
        std::string id = NumberedId(result.jobs_);
        JobRecord record = Wide(id, 8, aObjective - aTask);
        record.spec_.steps_[0].estimate_ = aTask;
        scheduler_->AddJob(record, kFence + 1);
        came[id] = clock_.Now();
        open.insert(id);
        ++result.jobs_;
        nextJob += PauseFor(aTargets, aTask);
      }
      Orders orders = Decide();
      for (const TargetStart& start : Of<TargetStart>(orders)) {
        running[start.target_][{ start.order_.task_, start.order_.run_ }] =
          clock_.Now();
        Started(start);
      }
      for (int i = 0; i < aTargets; ++i) {
        std::string target = "t" + std::to_string(i);
        HoldAnswer answer = Listed({});
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
        bool inTime = ended && clock_.Now() - came[aJob] <= aObjective;
        result.inTime_ += inTime ? 1 : 0;
        return ended;
      });
    }
    return result;
  }

  /// Jobs in time if each waits for all before it: the baseline.
  static int FirstComeFirstServed(int aTargets,
                                  Millis aTurn,
                                  Millis aTask,
                                  Millis aObjective)
  {
    int inTime = 0;
    std::vector<Millis> freeAt(static_cast<std::size_t>(aTargets), Millis(0));
    for (Millis at{ 0 }; at < aTurn; at += PauseFor(aTargets, aTask)) {
      auto first = std::min_element(freeAt.begin(), freeAt.end());
      *first = std::max(*first, at) + aTask;
      inTime += *first <= at + aObjective ? 1 : 0;
    }
    return inTime;
  }

  JobRecord Wide(const std::string& aId, int aTasks, Millis aAim) const
  {
    JobRecord record = Record();
    record.id_ = aId;
    record.aim_ = aAim;
    record.acceptedAt_ = clock_.Now();
    record.spec_.steps_[0].tasks_ = aTasks;
    return record;
  }

  /// Two occurrences are due.
  JobRecord TimedRecord() const
  {
    JobRecord record = Record();
    record.spec_.occurrences_ = 4;
    record.spec_.interval_ = Millis(1000);
    record.spec_.firstDue_ = clock_.Now() - Millis(1500);
    return record;
  }

  void Unanswered(const TargetStart& aStart)
  {
    scheduler_->OnStart(aStart.target_,
                        { aStart.order_.task_, aStart.order_.run_ },
                        { OrderEnd::NoAnswer, {} });
  }

  /// The target is looked at, the runs are not there and stopped.
  void StopAll(const std::vector<TargetStart>& aStarts)
  {
    for (int i = 0; i < 20; ++i) {
      for (const TargetStop& stop : Of<TargetStop>(Step())) {
        scheduler_->OnStop(stop.target_,
                           { stop.order_.task_, stop.order_.run_ },
                           { OrderEnd::Done, {} });
      }
    }
    HoldAnswer answer = Listed({});
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

  void Answer(const TargetHold& aHold, const HoldAnswer& aAnswer)
  {
    if (aHold.order_.isLook_) {
      scheduler_->OnLook(aHold.target_, aAnswer);
    } else {
      scheduler_->OnHold(aHold.target_, aAnswer);
    }
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
        Answer(hold, hold.target_ == aTarget ? none : Listed({}));
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
  RunningRow firstRow_;
  std::unique_ptr<Scheduler> scheduler_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);

} // namespace coltsfootshed
