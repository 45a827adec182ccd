/// \file
/// Tests that no document that another program wrote makes its reader throw,
/// accept a number that does not fit, or take much time and memory.

#include "Documents.h"
#include "coltsfootshed/Jobs/Job.h"
#include "coltsfootshed/Pools/PoolPlanner.h"
#include "coltsfootshed/Support/Clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace coltsfootshed {

static const std::string kEntry =
  R"({"Service":"s","Addr":"10.128.0.9:8080","Zone":"z","Machine":"m-1",
  "State":"ready","Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},
  "Labels":["a","r1-3"],"born":17,"Seq":4})";
static const std::string kConfig =
  R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/a/",
  "Priority":1,"MaxAttempts":3,"Stretch":1.6,"TargetLatencyMs":600,
  "Service":"s"}],"Services":[{"Name":"s"},{"Name":"x","Spare":true}]})";
static const std::string kWave =
  R"({"Wave":1,"Machines":["m-1","m-2"],"DurationS":20,"Cap":1})";
static const std::string kJobBody =
  R"({"Spec":"s","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstMs":900},
  {"Count":2,"After":[0],"MaxPerServer":2}],"Times":3,"FirstMs":5,
  "IntervalMs":7})";

/// Returns a document that nests as many arrays.
static std::string Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// Returns aText with the first aFrom replaced.
static std::string Replaced(std::string aText,
                            std::string_view aFrom,
                            std::string_view aTo)
{
  std::size_t at = aText.find(aFrom);
  CPPUNIT_ASSERT_MESSAGE(std::string(aFrom), at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

class MalformedDocumentsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MalformedDocumentsTest);
  CPPUNIT_TEST(RegistryEntriesWithOddFieldsAreErrors);
  CPPUNIT_TEST(ConfigurationsWithOddFieldsAreErrors);
  CPPUNIT_TEST(WavesWithOddFieldsAreErrors);
  CPPUNIT_TEST(JobsWithOddFieldsAreErrors);
  CPPUNIT_TEST(DeepDocumentsAreErrorsAtOnce);
  CPPUNIT_TEST(ErrorsAreShort);
  CPPUNIT_TEST(OddProgressChangesNothing);
  CPPUNIT_TEST(OddWaveStatesAreSkipped);
  CPPUNIT_TEST(MutatedDocumentsAreReadOrRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void RegistryEntriesWithOddFieldsAreErrors()
  {
    CPPUNIT_ASSERT(format_.readTarget_("i-1", kEntry).has_value());
    for (const auto& [from, to] :
         std::initializer_list<std::pair<const char*, const char*>>{
           { "16000", "1e308" },
           { "16000", "18446744073709551615" },
           { "16000", "9223372036854775807" },
           { "16000", "-5" },
           { "16000", "16000.5" },
           { "16000", "\"16000\"" },
           { "32768", "[]" },
           { "\"Gpu\":0", "\"Gpu\":1e30" },
           { "17", "-1" },
           { "17", "1e300" },
           { "17", "\"x\"" },
           { "8080", "0" },
           { "8080", "-1" },
           { "8080", "70000" },
           { "8080", "18446744073709551617" },
           { "\"m-1\"", "7" },
           { "\"z\"", "{}" },
           { "[\"a\",\"r1-3\"]", "[1]" },
           { "[\"a\",\"r1-3\"]", "{\"a\":1}" },
           { "\"Seq\":4", "\"Seq\":1e400" },
           { "\"Seq\":4", "\"Seq\":\"\xff\"" } }) {
      auto target = format_.readTarget_("i-1", Replaced(kEntry, from, to));
      CPPUNIT_ASSERT_MESSAGE(to, !target.has_value());
    }
    // A number without a fraction is whole, however it is written.
    CPPUNIT_ASSERT(
      format_.readTarget_("i-1", Replaced(kEntry, "16000", "1.6e4"))
        .has_value());
    for (const char* id : { "", "i\n1", "i 1", "i\xff" }) {
      CPPUNIT_ASSERT(!format_.readTarget_(id, kEntry).has_value());
    }
    std::string large =
      Replaced(kEntry, "\"r1-3\"", "\"" + std::string(100000, 'r') + "\"");
    CPPUNIT_ASSERT(!format_.readTarget_("i-1", large).has_value());
  }

  void ConfigurationsWithOddFieldsAreErrors()
  {
    CPPUNIT_ASSERT(format_.readConfig_(kConfig).has_value());
    for (const auto& [from, to] :
         std::initializer_list<std::pair<const char*, const char*>>{
           { "7", "-1" },
           { "7", "1e300" },
           { "7", "\"7\"" },
           { "\"Priority\":1", "\"Priority\":1e12" },
           { "\"MaxAttempts\":3", "\"MaxAttempts\":4294967297" },
           { "600", "1e300" },
           { "1.6", "\"x\"" },
           { "[{\"Name\":\"r\"", "[5,{\"Name\":\"r\"" },
           { "[{\"Name\":\"s\"}", "[[],{\"Name\":\"s\"}" } }) {
      auto config = format_.readConfig_(Replaced(kConfig, from, to));
      CPPUNIT_ASSERT_MESSAGE(to, !config.has_value());
    }
    for (const char* text : { "[]", "7", "null", "{}" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !format_.readConfig_(text).has_value());
    }
  }

  void WavesWithOddFieldsAreErrors()
  {
    CPPUNIT_ASSERT(format_.readWave_(kWave).has_value());
    for (const auto& [from, to] :
         std::initializer_list<std::pair<const char*, const char*>>{
           { "\"Wave\":1", "\"Wave\":1e300" },
           { "\"Wave\":1", "\"Wave\":18446744073709551615" },
           { "\"Cap\":1", "\"Cap\":1e12" },
           { "20", "1e308" },
           { "\"m-1\"", "1" } }) {
      auto wave = format_.readWave_(Replaced(kWave, from, to));
      CPPUNIT_ASSERT_MESSAGE(to, !wave.has_value());
    }
  }

  void JobsWithOddFieldsAreErrors()
  {
    CPPUNIT_ASSERT(format_.readJob_(kJobBody).has_value());
    for (const auto& [from, to] :
         std::initializer_list<std::pair<const char*, const char*>>{
           { "\"Cpu\":500", "\"Cpu\":-500" },
           { "\"Cpu\":500", "\"Cpu\":1e308" },
           { "\"Count\":4", "\"Count\":4294967297" },
           { "\"Count\":4", "\"Count\":3.5" },
           { "[0]", "[4294967296]" },
           { "\"MaxPerServer\":2", "\"MaxPerServer\":-2" },
           { "900", "1e300" },
           { "\"FirstMs\":5", "\"FirstMs\":1e300" },
           { "\"IntervalMs\":7", "\"IntervalMs\":-7" },
           { "\"IntervalMs\":7", "\"IntervalMs\":1e300" },
           { "\"Times\":3", "\"Times\":1e300" },
           { "\"s\"", "\"\xff\"" } }) {
      auto job = format_.readJob_(Replaced(kJobBody, from, to));
      CPPUNIT_ASSERT_MESSAGE(to, !job.has_value());
    }
    // Many steps of the most tasks that one step may have.
    std::string steps = R"({"Count":100000})";
    for (int i = 0; i < 50; ++i) {
      steps += R"(,{"Count":100000})";
    }
    CPPUNIT_ASSERT(
      !format_.readJob_("{\"Steps\":[" + steps + "]}").has_value());
  }

  /// Building the tree of such a document takes 70 MB.
  void DeepDocumentsAreErrorsAtOnce()
  {
    std::string deep = Nested(500000);
    Millis start = clock_.Now();
    std::string inField = Replaced(kEntry, "\"z\"", deep);
    CPPUNIT_ASSERT(!format_.readTarget_("i-1", inField).has_value());
    CPPUNIT_ASSERT(
      !format_.readConfig_("{\"Version\":1,\"Routes\":" + deep + "}")
         .has_value());
    CPPUNIT_ASSERT(!format_.readWave_(deep).has_value());
    CPPUNIT_ASSERT(!format_.readJob_("{\"Steps\":" + deep + "}").has_value());
    CPPUNIT_ASSERT(!DecodeRecord(deep).has_value());
    CPPUNIT_ASSERT(!DecodeReport(deep).has_value());
    // Some milliseconds each, also with sanitizers on a busy machine.
    CPPUNIT_ASSERT(clock_.Now() - start < Millis(3000));
  }

  /// An error may end up in a log line.
  void ErrorsAreShort()
  {
    std::string text = "{\"Service\":\"" + std::string(8000, 'x') + "\xff\"}";
    auto target = format_.readTarget_("i-1", text);
    CPPUNIT_ASSERT(!target.has_value());
    CPPUNIT_ASSERT(target.error().Text().size() < 400);
  }

  /// A job whose progress cannot be read keeps the state that it had.
  void OddProgressChangesNothing()
  {
    JobRecord record;
    record.id_ = "00000000000000aa";
    record.spec_.steps_.resize(1);
    Job job(record, Millis(0), Millis(0));
    std::string good = job.EncodeProgress();
    for (const std::string& text :
         { std::string("{}"),
           std::string("[]"),
           Nested(100000),
           Replaced(good, "\"created\":1", "\"created\":-1"),
           Replaced(good, "\"created\":1", "\"created\":\"1\""),
           Replaced(good, "\"finished\":0", "\"finished\":1e300"),
           Replaced(good, "[[0,", "[[7,"),
           Replaced(good, "[[0,", "[[\"0\","),
           Replaced(good, "\"failed\":[]", "\"failed\":[[-1,[1]]]"),
           Replaced(good, "\"failed\":[]", "\"failed\":[[9,[1]]]"),
           Replaced(good, "\"failed\":[]", "\"failed\":3"),
           // A job that is running has an occurrence.
           std::string(R"({"state":"running","created":1,"finished":0,
                          "occurrences":[]})") }) {
      CPPUNIT_ASSERT_MESSAGE(text.substr(0, 200), !job.LoadProgress(text));
      CPPUNIT_ASSERT_EQUAL(good, job.EncodeProgress());
      CPPUNIT_ASSERT(job.Find({ record.id_, 0, 0, 0 }) != nullptr);
    }
    CPPUNIT_ASSERT(job.LoadProgress(good));
  }

  void OddWaveStatesAreSkipped()
  {
    PoolPlanner planner(clock_);
    for (int number : { 1, 2 }) {
      WaveConfig wave;
      wave.number_ = number;
      planner.SetWave(wave);
    }
    for (const std::string& text : { std::string("{}"),
                                     std::string("[3]"),
                                     std::string("[[]]"),
                                     std::string(R"([["1",["m"]]])"),
                                     std::string(R"([[1,[7]]])"),
                                     Nested(100000) }) {
      planner.LoadWaves(text);
    }
    // One row that cannot be read does not hide the others.
    planner.LoadWaves(R"([[1,[7]],[2,["m-2"]]])");
    CPPUNIT_ASSERT_EQUAL(std::string(R"([[1,[]],[2,["m-2"]]])"),
                         planner.EncodeWaves());
  }

  void MutatedDocumentsAreReadOrRejected()
  {
    JobRecord record;
    record.id_ = "00000000000000aa";
    record.spec_.steps_.resize(2);
    record.spec_.steps_[0].tasks_ = 3;
    PoolReport report;
    report.byLabel_["a"] = { 1, 2, 0 };
    report.targets_.push_back({ "t", 1, 0, false });
    const std::vector<std::string> documents = {
      kEntry,
      kConfig,
      kWave,
      kJobBody,
      EncodeRecord(record),
      EncodeReport(report),
      Job(record, Millis(0), Millis(0)).EncodeProgress(),
      R"([[1,["m-1"]],[2,[]]])"
    };
    const std::vector<std::string> pieces = {
      "null", "-1",   "1e308", "1e400",           "18446744073709551615",
      "{}",   "[]",   "\"\"",  "\"\xff\"",        "0.5",
      "true", "[[[[", "\\u0",  "9007199254740993"
    };
    bool passed = rc::check("mutated documents", [&] {
      std::string text = *rc::gen::elementOf(documents);
      int changes = *rc::gen::inRange(1, 4);
      for (int i = 0; i < changes; ++i) {
        std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
        std::size_t length = *rc::gen::inRange<std::size_t>(0, 12);
        text.replace(
          at, std::min(length, text.size() - at), *rc::gen::elementOf(pieces));
      }
      ReadAll(text, record);
    });
    CPPUNIT_ASSERT(passed);
  }

private:
  /// Passes a document to every reader; checks what is accepted.
  void ReadAll(const std::string& aText, const JobRecord& aRecord)
  {
    if (auto target = format_.readTarget_("i-1", aText)) {
      RC_ASSERT(target->capacity_.cpu_ >= 0);
      RC_ASSERT(target->capacity_.memory_ >= 0);
    }
    if (auto job = format_.readJob_(aText)) {
      for (const StepSpec& step : job->steps_) {
        RC_ASSERT(step.tasks_ > 0);
        RC_ASSERT(step.taskResources_.cpu_ >= 0);
      }
    }
    (void)format_.readConfig_(aText);
    (void)format_.readWave_(aText);
    (void)DecodeRecord(aText);
    (void)DecodeReport(aText);
    Job job(aRecord, Millis(0), Millis(0));
    if (job.LoadProgress(aText) && !job.IsEnded()) {
      RC_ASSERT(job.Find({ aRecord.id_, 0, 0, 0 }) != nullptr);
    }
    PoolPlanner planner(clock_);
    planner.LoadWaves(aText);
  }

  SteadyClock clock_;
  WireFormat format_ = platform::PlatformFormat();
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedDocumentsTest);

} // namespace coltsfootshed
