/// \file
/// Tests that one malformed entry of the registry costs only its own target.

#include "coltsfootshed/Node/TargetRegistry.h"
#include "Documents.h"
#include "Support/FakeStore.h"
#include "Support/LogCapture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

namespace coltsfootshed {

static constexpr const char* kEntry =
  R"({"Service":"s","Addr":"10.128.0.9:8080","Zone":"z","Machine":"m-1",
  "State":"ready","Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},
  "Labels":["a","r1-3"],"born":17,"Seq":4})";

class TargetRegistryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetRegistryTest);
  CPPUNIT_TEST(AnOddEntryInTheListCostsOnlyItself);
  CPPUNIT_TEST(AnOddEntryInTheWatchCostsOnlyItself);
  CPPUNIT_TEST(ATargetWhoseEntryTurnsOddIsGone);
  CPPUNIT_TEST(AnOddEntryIsLoggedOncePerChange);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    base_ = event_base_new();
    store_ = std::make_unique<FakeStore>(base_);
  }
  void tearDown() override
  {
    registry_.reset();
    store_.reset();
    event_base_free(base_);
  }

  void AnOddEntryInTheListCostsOnlyItself()
  {
    store_->Change("servers/a", kEntry);
    for (std::size_t i = 0; i < OddEntries().size(); ++i) {
      store_->Change("servers/b" + std::to_string(i), OddEntries()[i]);
    }
    store_->Change("servers/c", kEntry);
    Start();
    RunUntil([this] { return registry_->Targets().size() == 2; });
    CPPUNIT_ASSERT(registry_->Targets().count("c") == 1);
    // The list is followed on.
    store_->Change("servers/d", kEntry);
    RunUntil([this] { return registry_->Targets().count("d") == 1; });
  }

  void AnOddEntryInTheWatchCostsOnlyItself()
  {
    store_->Change("servers/a", kEntry);
    Start();
    RunUntil([this] { return registry_->Targets().size() == 1; });
    for (std::size_t i = 0; i < OddEntries().size(); ++i) {
      store_->Change("servers/b" + std::to_string(i), OddEntries()[i]);
    }
    store_->Change("servers/c", kEntry);
    RunUntil([this] { return registry_->Targets().count("c") == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), registry_->Targets().size());
  }

  void ATargetWhoseEntryTurnsOddIsGone()
  {
    store_->Change("servers/a", kEntry);
    store_->Change("servers/b", kEntry);
    Start();
    RunUntil([this] { return registry_->Targets().size() == 2; });
    store_->Change("servers/a", OddEntries().front());
    RunUntil([this] { return gone_.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string("a"), gone_.front());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), registry_->Targets().size());
  }

  /// The range is read again after each loss of the store's history.
  void AnOddEntryIsLoggedOncePerChange()
  {
    LogCapture log;
    store_->Change("servers/a", "[]");
    Start();
    RunUntil([&] { return log.Count("registry-entry-unusable") == 1; });
    int before = store_->ranges_;
    store_->DropHistory();
    RunUntil([&] { return store_->ranges_ > before; });
    store_->Change("servers/c", kEntry);
    RunUntil([this] { return registry_->Targets().size() == 1; });
    CPPUNIT_ASSERT_EQUAL(1, log.Count("registry-entry-unusable"));
    store_->Change("servers/a", "[1]");
    RunUntil([&] { return log.Count("registry-entry-unusable") == 2; });
  }

private:
  static const std::vector<std::string>& OddEntries()
  {
    static const std::vector<std::string> kOdd = {
      std::string(500000, '[') + std::string(500000, ']'),
      R"({"Service":"s","Addr":"10.0.0.1:70000","State":"ready",
         "Capacity":{}})",
      R"({"Service":"s","Addr":"10.0.0.1:80","State":"ready",
         "Capacity":{"Cpu":1e308}})",
      "\xff\xfe",
      "null"
    };
    return kOdd;
  }

  void Start()
  {
    registry_ = std::make_unique<TargetRegistry>(
      base_,
      clock_,
      *store_,
      format_,
      TargetRegistry::Listener{
        [](const TargetInfo&) {},
        [this](const std::string& aId) { gone_.push_back(aId); } },
      Millis(200),
      1);
  }

  template<typename Condition>
  void RunUntil(const Condition& aCondition)
  {
    constexpr Millis kLimit{ 20000 }; ///< far more than a busy machine needs
    Millis end = clock_.Now() + kLimit;
    while (!aCondition()) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      event_base_loop(base_, EVLOOP_ONCE);
    }
  }

  const WireFormat format_ = platform::PlatformFormat();
  SteadyClock clock_;
  event_base* base_ = nullptr;
  std::vector<std::string> gone_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<TargetRegistry> registry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRegistryTest);

} // namespace coltsfootshed
