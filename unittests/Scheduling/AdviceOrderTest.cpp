/// \file
/// Tests about which steps a scheduler asks the advice service, and in which
/// order.

#include "Support/ManualClock.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>
#include <set>

namespace coltsfootshed {

class AdviceOrderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AdviceOrderTest);
  CPPUNIT_TEST(FewRequestsOfABurstAreInFlight);
  CPPUNIT_TEST(UrgentStepsAreAskedAboutFirst);
  CPPUNIT_TEST(StepsThatCannotStartHoldUpNoOthers);
  CPPUNIT_TEST(FewerTargetsAreNamedWhileOthersWait);
  CPPUNIT_TEST(ALateAnswerIsUsed);
  CPPUNIT_TEST(AdviceForAnEndedJobIsNotWanted);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    SchedulerSettings settings;
    settings.service_ = "stitch";
    settings.fence_ = kFence;
    scheduler_ = std::make_unique<Scheduler>(clock_, clock_, settings);
    scheduler_->SetAuthority(Authority::Confirmed, clock_.Now());
    asks_.clear();
    started_.clear();
    runs_.clear();
    nextJob_ = 0;
    Register("t1");
    Register("t2");
    Step();
    Step();
  }

  /// review/13, LOST: one request for each step that waited was sent at once.
  void FewRequestsOfABurstAreInFlight()
  {
    AddJobs(24, 0, 1);
    for (int i = 0; i < 100; ++i) {
      Step();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), asks_.size());
    while (started_.size() < 24) {
      CPPUNIT_ASSERT(!asks_.empty());
      AnswerOldest();
      Step();
      CPPUNIT_ASSERT(asks_.size() <= 2);
    }
  }

  void UrgentStepsAreAskedAboutFirst()
  {
    AddJobs(10, 5, 1);
    Step();
    AddJobs(1, 0, 1);
    for (int i = 0; i < 3; ++i) {
      AnswerOldest();
      Step();
    }
    CPPUNIT_ASSERT(started_.count(JobId(10)) > 0);
  }

  /// Tickets run out before such a step can start, so that it needs advice
  /// again and again.
  void StepsThatCannotStartHoldUpNoOthers()
  {
    AddJobs(5, 0, 50); // gangs that find no room
    Step();
    AddJobs(4, 5, 1);
    int answers = 0;
    while (started_.size() < 4) {
      CPPUNIT_ASSERT(++answers <= 20);
      clock_.Advance(Millis(350));
      AnswerOldest();
      Step();
    }
  }

  /// The service takes time for each target that is named.
  void FewerTargetsAreNamedWhileOthersWait()
  {
    for (int i = 3; i <= 40; ++i) {
      Register("t" + std::to_string(i));
    }
    Step();
    Step();
    AddJobs(1, 0, 1);
    Step();
    CPPUNIT_ASSERT_EQUAL(std::size_t(30), asks_.front().targets_.size());
    AnswerOldest();
    AddJobs(6, 0, 2);
    Step();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), asks_.front().targets_.size());
    while (started_.size() < 7) {
      CPPUNIT_ASSERT(!asks_.empty());
      AnswerOldest();
      Step();
    }
  }

  /// The answer of a service that is slow for a while is as good as any.
  void ALateAnswerIsUsed()
  {
    AddJobs(3, 0, 1);
    Step();
    AskAdvice first = asks_.front();
    asks_.pop_front();
    scheduler_->OnAdviceLate(first.step_);
    Step();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), asks_.size());
    Answer(first, true);
    Step();
    CPPUNIT_ASSERT(started_.count(first.step_.job_) > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), asks_.size());
  }

  void AdviceForAnEndedJobIsNotWanted()
  {
    AddJobs(2, 0, 1);
    Step();
    CPPUNIT_ASSERT(scheduler_->WantsAdvice(asks_[0].step_));
    scheduler_->CancelJob(asks_[0].step_.job_);
    CPPUNIT_ASSERT(!scheduler_->WantsAdvice(asks_[0].step_));
    AnswerOldest(); // of the cancelled one
    AnswerOldest();
    Step();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), started_.size());
    CPPUNIT_ASSERT(
      !scheduler_->WantsAdvice(TaskName{ *started_.begin(), 0, 0, 0 }));
  }

private:
  static constexpr Fence kFence = 10;

  static std::string JobId(int aNumber)
  {
    std::string text = std::to_string(aNumber);
    return std::string(16 - text.size(), '0') + text;
  }

  void Register(const std::string& aId)
  {
    TargetInfo info;
    info.id_ = aId;
    info.service_ = "stitch";
    info.capacity_ = { 20000, 65536, 0 };
    scheduler_->RegisterTarget(info);
  }

  void AddJobs(int aCount, int aPriority, int aTasks)
  {
    for (int i = 0; i < aCount; ++i) {
      JobRecord record;
      record.id_ = JobId(nextJob_++);
      record.service_ = "stitch";
      record.queue_ = "q";
      record.priority_ = aPriority;
      record.needsTickets_ = true;
      record.acceptedAt_ = clock_.Now();
      record.objectiveBase_ = Millis(60000);
      StepSpec step;
      step.tasks_ = aTasks;
      step.gang_ = aTasks > 1;
      step.taskResources_ = { 1000, 512, 0 };
      step.estimate_ = Millis(800);
      record.spec_.steps_.push_back(step);
      scheduler_->AddJob(record, kFence + 1);
    }
  }

  /// Decides; holds and starts are answered at once, requests for advice are
  /// kept.
  void Step()
  {
    clock_.Advance(Millis(1));
    for (const SchedulerOrder& order : scheduler_->Decide()) {
      if (const auto* hold = std::get_if<TargetHold>(&order)) {
        AnswerHold(*hold);
      } else if (std::holds_alternative<SaveRoster>(order)) {
        scheduler_->OnRosterSaved(true);
      } else if (const auto* start = std::get_if<TargetStart>(&order)) {
        started_.insert(start->order_.task_.job_);
        scheduler_->OnStart(start->target_,
                            { start->order_.task_, start->order_.run_ },
                            { OrderEnd::Done, {} });
        runs_[start->target_].push_back(
          { start->order_.task_, start->order_.run_, "", 10, 0 });
      } else if (const auto* ask = std::get_if<AskAdvice>(&order)) {
        asks_.push_back(*ask);
      }
    }
  }

  void AnswerHold(const TargetHold& aHold)
  {
    HoldAnswer answer;
    answer.end_ = OrderEnd::Done;
    answer.clock_ = clock_.Now().count();
    answer.startedAt_ = 1;
    answer.running_ = runs_[aHold.target_];
    if (aHold.order_.isProbe_) {
      scheduler_->OnProbe(aHold.target_, answer);
    } else {
      scheduler_->OnHold(aHold.target_, answer);
    }
  }

  void AnswerOldest()
  {
    AskAdvice ask = asks_.front();
    asks_.pop_front();
    Answer(ask, false);
  }

  /// Grants all that was asked about.
  void Answer(const AskAdvice& aAsk, bool aWasLate)
  {
    Advice advice;
    advice.answered_ = true;
    advice.validFor_ = Millis(1000);
    for (const std::string& target : aAsk.targets_) {
      advice.granted_.emplace_back(target, "ticket");
    }
    scheduler_->OnAdvice(aAsk.step_, aAsk.targets_, advice, aWasLate);
  }

  ManualClock clock_;
  std::unique_ptr<Scheduler> scheduler_;
  std::deque<AskAdvice> asks_;                           ///< in flight
  std::set<std::string> started_;                        ///< jobs
  std::map<std::string, std::vector<ReportedRun>> runs_; ///< by target
  int nextJob_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceOrderTest);

} // namespace coltsfootshed
