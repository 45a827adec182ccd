/// \file
/// Tests that documents of the platform are decoded, that malformed ones yield
/// errors, and that faults in the settings name the field.

#include "Documents.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootshed {

class DocumentsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DocumentsTest);
  CPPUNIT_TEST(SettingsAreRead);
  CPPUNIT_TEST(FaultySettingsNameTheField);
  CPPUNIT_TEST(JobsAreRead);
  CPPUNIT_TEST(BadJobsAreErrors);
  CPPUNIT_TEST(RegistryEntriesAreRead);
  CPPUNIT_TEST(MalformedRegistryEntriesAreErrors);
  CPPUNIT_TEST(LongestPrefixSelectsTheQueue);
  CPPUNIT_TEST_SUITE_END();

public:
  void SettingsAreRead()
  {
    auto settings = platform::ReadNodeSettings(R"(
Node = "entry-1"
Zone = "north"
Ip = "10.1.0.9"
PortRange = [7060,7075]
Advice = "10.200.1.9:8621"
[Listen]
Front = "10.1.0.9:8624"
Ready = "10.1.0.9:8622"
[Bounds]
MaxHoldMs = 8000
ContactMs = 4000
FarX = 1.5
[platform]
Addr = "10.200.1.7:8621"
)");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.9:7060"), settings->peers_.Text());
    CPPUNIT_ASSERT(settings->longestTargetLease_ == Millis(8000));
    CPPUNIT_ASSERT(settings->contactTime_ == Millis(4000));
    CPPUNIT_ASSERT(settings->configDeadline_ == Millis(2000));
    CPPUNIT_ASSERT_EQUAL(1.5, settings->remoteDataSlowdown_);
    CPPUNIT_ASSERT(settings->advice_.has_value());
    CPPUNIT_ASSERT(!settings->vmService_.has_value());
  }

  void FaultySettingsNameTheField()
  {
    auto settings = platform::ReadNodeSettings("Node = \"x\"\n");
    CPPUNIT_ASSERT(!settings.has_value());
    std::string all;
    for (const Fault& fault : settings.error()) {
      all += fault.Text() + "\n";
    }
    for (const char* field :
         { "Zone", "Listen.Front", "Listen.Ready", "platform.Addr" }) {
      CPPUNIT_ASSERT(all.find(field) != std::string::npos);
    }
  }

  void JobsAreRead()
  {
    auto job = format_.readJob_(
      R"({"Spec":"s","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstMs":900,
      "DataRack":"r1"},{"Count":2,"After":[0],"LongRunning":true,
      "MayMiss":1,"TargetMs":40,"FillCount":true,"MaxPerServer":2}]})");
    CPPUNIT_ASSERT(job.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), job->steps_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), job->steps_[0].dataRack_);
    CPPUNIT_ASSERT(job->steps_[0].taskResources_ == (Resources{ 500, 256, 0 }));
    const StepSpec& second = job->steps_[1];
    CPPUNIT_ASSERT(second.longRunning_ && second.bestEffort_);
    CPPUNIT_ASSERT(second.latencyObjective_ == Millis(40));
    CPPUNIT_ASSERT_EQUAL(1, second.maxUnavailableTasks_);
    CPPUNIT_ASSERT_EQUAL(2, second.maxPerTarget_);
  }

  void BadJobsAreErrors()
  {
    for (const char* text : { "",
                              "[]",
                              "{}",
                              R"({"Steps":[]})",
                              R"({"Steps":[{"Count":0}]})",
                              R"({"Steps":[{"After":[0]}]})",
                              R"({"Steps":[{"Count":"many"}]})",
                              R"({"Steps":[{}],"Times":-1})" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !format_.readJob_(text).has_value());
    }
  }

  void RegistryEntriesAreRead()
  {
    auto target = format_.readTarget_("i-1", kRegistryEntry);
    CPPUNIT_ASSERT(target.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), target->id_);
    CPPUNIT_ASSERT(target->draining_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(17), target->startedAt_);
    CPPUNIT_ASSERT_EQUAL(std::string("m-1"), target->vm_);
  }

  void MalformedRegistryEntriesAreErrors()
  {
    for (const char* text :
         { "",
           "\xff\xfe",
           "3",
           "{}",
           R"({"Service":"s","Addr":"10.0.0.9:80","State":"odd",
              "Capacity":{}})",
           R"({"Service":"s","Addr":"nowhere","State":"ready",
              "Capacity":{}})" }) {
      CPPUNIT_ASSERT(!format_.readTarget_("i-1", text).has_value());
    }
  }

  void LongestPrefixSelectsTheQueue()
  {
    auto config = format_.readConfig_(R"({"Version":7,"Routes":[
      {"Name":"r1","Host":"h.example","Prefix":"/a/","Service":"s"},
      {"Name":"r2","Host":"h.example","Prefix":"/a/b/","Service":"t"}],
      "Services":[{"Name":"s"},{"Name":"t"},{"Name":"x","Spare":true}]})");
    CPPUNIT_ASSERT(config.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("r2"),
                         config->Find("h.example:80", "/a/b/1")->name_);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                         config->Find("h.example", "/a/c")->name_);
    CPPUNIT_ASSERT(config->Find("other.example", "/a/c") == nullptr);
    CPPUNIT_ASSERT(config->services_.at(2).spare_);
  }

private:
  static constexpr const char* kRegistryEntry =
    R"({"Service":"s","Addr":"10.128.0.9:8080","Zone":"z","Machine":"m-1",
    "State":"draining","Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},
    "Labels":["a","r1-3"],"born":17,"Seq":4})";

  WireFormat format_ = platform::PlatformFormat();
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentsTest);

} // namespace coltsfootshed
