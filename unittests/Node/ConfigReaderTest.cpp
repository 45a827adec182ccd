/// \file
/// Tests how many calls requests for the configuration cost.

#include "coltsfootshed/Node/ConfigReader.h"
#include "Support/FakeStore.h"
#include "Support/ManualClock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

namespace coltsfootshed {

class ConfigReaderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigReaderTest);
  CPPUNIT_TEST(RequestsShareACall);
  CPPUNIT_TEST(FailedCallIsNotRepeatedAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    base_ = event_base_new();
    store_ = std::make_unique<FakeStore>(base_);
    reader_ = std::make_unique<ConfigReader>(
      clock_, *store_, "op/config", [this](const StoreItem&) { ++applied_; });
  }
  void tearDown() override
  {
    reader_.reset();
    store_.reset();
    event_base_free(base_);
  }

  void RequestsShareACall()
  {
    store_->Change("op/config", "new");
    Read();
    Read();
    event_base_dispatch(base_);
    CPPUNIT_ASSERT_EQUAL(2, ended_);
    CPPUNIT_ASSERT_EQUAL(1, applied_);
    CPPUNIT_ASSERT_EQUAL(1, store_->reads_);
    CPPUNIT_ASSERT(reader_->Age() == Millis(0));
  }

  void FailedCallIsNotRepeatedAtOnce()
  {
    store_->silent_ = true;
    Read();
    event_base_dispatch(base_);
    CPPUNIT_ASSERT_EQUAL(1, ended_);
    Read();
    CPPUNIT_ASSERT_EQUAL(2, ended_);
    CPPUNIT_ASSERT_EQUAL(1, store_->reads_);
    clock_.Advance(Millis(1000));
    Read();
    CPPUNIT_ASSERT_EQUAL(2, store_->reads_);
    CPPUNIT_ASSERT(reader_->Age() == clock_.Now());
  }

private:
  void Read()
  {
    reader_->Read([this] { ++ended_; });
  }

  ManualClock clock_;
  event_base* base_ = nullptr;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<ConfigReader> reader_;
  int applied_ = 0;
  int ended_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigReaderTest);

} // namespace coltsfootshed
