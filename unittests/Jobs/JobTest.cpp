/// \file
/// Tests of jobs: stored records, progress and task names read back unchanged,
/// and tasks lead to the right job states.

#include "coltsfootshed/Jobs/Job.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootshed {

static JobRecord TwoStepRecord()
{
  JobRecord record;
  record.id_ = "00000000000000aa";
  record.queue_ = "q";
  record.service_ = "stitch";
  record.maxAttempts_ = 2;
  record.spec_.payload_ = "text with \"quotes\"";
  StepSpec step;
  step.tasks_ = 2;
  step.taskResources_ = { 1500, 1024, 0 };
  step.estimate_ = Millis(700);
  step.image_ = "tiles";
  record.spec_.steps_.push_back(step);
  step.after_ = { 0 };
  step.dataRack_ = "r1";
  step.maxUnavailableTasks_ = 1;
  record.spec_.steps_.push_back(step);
  return record;
}

class JobTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobTest);
  CPPUNIT_TEST(RecordReadsBackUnchanged);
  CPPUNIT_TEST(MalformedRecordIsRejected);
  CPPUNIT_TEST(ProgressReadsBackUnchanged);
  CPPUNIT_TEST(StepWaitsForItsPrerequisites);
  CPPUNIT_TEST(RepeatedFailureOfARunCountsOnce);
  CPPUNIT_TEST(OccurrencesAreCreatedWhenDue);
  CPPUNIT_TEST(TaskNameReadsBackUnchanged);
  CPPUNIT_TEST_SUITE_END();

public:
  void RecordReadsBackUnchanged()
  {
    JobRecord record = TwoStepRecord();
    auto read = DecodeRecord(EncodeRecord(record));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(EncodeRecord(record), EncodeRecord(*read));
    CPPUNIT_ASSERT_EQUAL(record.spec_.payload_, read->spec_.payload_);
    CPPUNIT_ASSERT_EQUAL(1, read->spec_.steps_[1].maxUnavailableTasks_);
  }

  void MalformedRecordIsRejected()
  {
    for (const char* text : { "", "{}", "[1]", "{\"id\":3}" }) {
      CPPUNIT_ASSERT(!DecodeRecord(text).has_value());
    }
  }

  void ProgressReadsBackUnchanged()
  {
    Job job(TwoStepRecord(), Millis(0), Millis(0));
    job.MarkDone({ job.Record().id_, 0, 0, 1 });
    job.MarkFailed({ job.Record().id_, 0, 0, 0 }, 7);
    job.Find({ job.Record().id_, 0, 0, 0 })->checkpoint_ = "c7";
    Job successor(TwoStepRecord(), Millis(0), Millis(0));
    CPPUNIT_ASSERT(successor.LoadProgress(job.EncodeProgress()));
    CPPUNIT_ASSERT(successor.State() == JobState::Running);
    TaskProgress* first = successor.Find({ job.Record().id_, 0, 0, 0 });
    CPPUNIT_ASSERT(first->failedRuns_.count(7) == 1);
    CPPUNIT_ASSERT_EQUAL(std::string("c7"), first->checkpoint_);
    CPPUNIT_ASSERT(successor.Find({ job.Record().id_, 0, 0, 1 })->done_);
    CPPUNIT_ASSERT(!successor.LoadProgress("nonsense"));
  }

  void StepWaitsForItsPrerequisites()
  {
    Job job(TwoStepRecord(), Millis(0), Millis(0));
    const StepSpec& second = job.Record().spec_.steps_[1];
    CPPUNIT_ASSERT(!job.Occurrences().at(0).IsReady(second));
    job.MarkDone({ job.Record().id_, 0, 0, 0 });
    CPPUNIT_ASSERT(!job.Occurrences().at(0).IsReady(second));
    job.MarkDone({ job.Record().id_, 0, 0, 1 });
    CPPUNIT_ASSERT(job.Occurrences().at(0).IsReady(second));
    job.MarkDone({ job.Record().id_, 0, 1, 0 });
    job.MarkDone({ job.Record().id_, 0, 1, 1 });
    CPPUNIT_ASSERT(job.State() == JobState::Complete);
  }

  /// Guards against a failed run that counts twice: a scheduler's successor
  /// sees the end of a run again if it was saved but not acknowledged.
  void RepeatedFailureOfARunCountsOnce()
  {
    Job job(TwoStepRecord(), Millis(0), Millis(0));
    TaskName task{ job.Record().id_, 0, 0, 0 };
    job.MarkFailed(task, 7);
    job.MarkFailed(task, 7);
    CPPUNIT_ASSERT(job.State() == JobState::Running);
    job.MarkFailed(task, 8);
    CPPUNIT_ASSERT(job.State() == JobState::Failed);
  }

  void OccurrencesAreCreatedWhenDue()
  {
    JobRecord record = TwoStepRecord();
    record.spec_.occurrences_ = 2;
    record.spec_.firstDue_ = Millis(1000);
    record.spec_.interval_ = Millis(500);
    Job job(record, Millis(0), Millis(0));
    CPPUNIT_ASSERT(!job.CreateDueOccurrences(Millis(999)));
    CPPUNIT_ASSERT(job.CreateDueOccurrences(Millis(1000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), job.Occurrences().size());
    CPPUNIT_ASSERT(job.CreateDueOccurrences(Millis(1500)));
    CPPUNIT_ASSERT(!job.CreateDueOccurrences(Millis(9000)));
    for (int occurrence : { 0, 1 }) {
      for (int step : { 0, 1 }) {
        for (int index : { 0, 1 }) {
          CPPUNIT_ASSERT(job.State() != JobState::Complete);
          job.MarkDone({ record.id_, occurrence, step, index });
        }
      }
    }
    CPPUNIT_ASSERT(job.State() == JobState::Complete);
  }

  void TaskNameReadsBackUnchanged()
  {
    TaskName name{ "00000000000000aa", 3, 1, 17 };
    CPPUNIT_ASSERT_EQUAL(std::string("00000000000000aa.3.1.17"), name.Text());
    CPPUNIT_ASSERT(ParseTaskName(name.Text()) == name);
    for (const char* text :
         { "", "a", "a.1.2", "a.1.2.", "a.1.2.3.4", "a.-1.2.3", "a.1.2.x" }) {
      CPPUNIT_ASSERT(!ParseTaskName(text).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobTest);

} // namespace coltsfootshed
