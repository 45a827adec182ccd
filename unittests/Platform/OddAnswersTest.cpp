/// \file
/// Tests that no answer of a target, the VM service or the store ends the
/// process, and that one malformed row costs only itself.

#include "HttpKeyValueStore.h"
#include "HttpTargetCalls.h"
#include "HttpVmCalls.h"
#include "Support/FreeAddress.h"
#include "coltsfootshed/Http/Server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>
#include <optional>

namespace coltsfootshed {

class OddAnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OddAnswersTest);
  CPPUNIT_TEST(OddAnswersToOrders);
  CPPUNIT_TEST(OddAnswersToHolds);
  CPPUNIT_TEST(OddAnswersToVmOrders);
  CPPUNIT_TEST(AnOddVmCostsOnlyItself);
  CPPUNIT_TEST(OddAnswersOfTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    base_ = event_base_new();
    server_ = std::make_unique<HttpServer>(
      base_,
      ServerLimits(),
      [this](const std::shared_ptr<ServerExchange>& aExchange) {
        aExchange->Reply(answer_);
      });
    address_ = FreeAddress();
    CPPUNIT_ASSERT(server_->Listen(address_).has_value());
  }
  void tearDown() override
  {
    server_.reset();
    event_base_free(base_);
  }

  void OddAnswersToOrders()
  {
    platform::HttpTargetCalls calls(base_, clock_);
    TargetInfo target;
    target.id_ = "i-1";
    target.address_ = address_;
    auto stop = [&](int aCode, const std::string& aBody) {
      answer_ = { aCode, {}, aBody };
      std::optional<OrderAnswer> answer;
      calls.Stop(target, StopOrder(), [&](const OrderAnswer& aAnswer) {
        answer = aAnswer;
      });
      RunUntil([&] { return answer.has_value(); });
      return *answer;
    };
    for (const char* body : { R"({"ClockMs":1,"Reason":7})",
                              R"({"ClockMs":1,"Reason":["fence"]})",
                              R"({"ClockMs":"x","Reason":null})",
                              "\xff",
                              "[]" }) {
      CPPUNIT_ASSERT(stop(409, body).end_ == OrderEnd::Malformed);
    }
    for (const char* body : { R"({"ClockMs":"x"})",
                              R"({"ClockMs":1e300})",
                              R"({"ClockMs":{}})",
                              "\xff" }) {
      OrderAnswer answer = stop(200, body);
      CPPUNIT_ASSERT(answer.end_ == OrderEnd::Done);
      CPPUNIT_ASSERT(!answer.clock_.has_value());
    }
    CPPUNIT_ASSERT(stop(200, R"({"ClockMs":17})").clock_ == 17);
    CPPUNIT_ASSERT(stop(409, R"({"Reason":"fence"})").end_ ==
                   OrderEnd::FenceTooLow);
  }

  void OddAnswersToHolds()
  {
    platform::HttpTargetCalls calls(base_, clock_);
    TargetInfo target;
    target.id_ = "i-1";
    target.address_ = address_;
    auto hold = [&](const std::string& aBody) {
      answer_ = { 200, {}, aBody };
      std::optional<HoldAnswer> answer;
      calls.Hold(target, HoldOrder(), [&](const HoldAnswer& aAnswer) {
        answer = aAnswer;
      });
      RunUntil([&] { return answer.has_value(); });
      return answer->end_;
    };
    for (const std::string& body :
         { std::string(R"({"ClockMs":"x","Running":[],"EndedRuns":[]})"),
           std::string(R"({"ClockMs":1e300,"Running":[],"EndedRuns":[]})"),
           std::string(
             R"({"ClockMs":1,"born":"x","Running":[],"EndedRuns":[]})"),
           std::string(R"({"ClockMs":1,"Running":7,"EndedRuns":[]})"),
           std::string(R"({"ClockMs":1,"Running":[[]],"EndedRuns":[]})"),
           std::string(R"({"ClockMs":1,"Running":[],"EndedRuns":[[1]]})"),
           std::string(R"({"ClockMs":1,"EndedRuns":[],"Running":
             [["00000000000000aa.0.0.0",1e300,"",0]]})"),
           std::string(R"({"ClockMs":1,"EndedRuns":[],"Running":
             [["00000000000000aa.0.0.0",1,"",1e300]]})"),
           R"({"ClockMs":1,"EndedRuns":[],"Running":)" +
             std::string(100000, '[') + std::string(100000, ']') + "}" }) {
      CPPUNIT_ASSERT_MESSAGE(body.substr(0, 200),
                             hold(body) == OrderEnd::NoAnswer);
    }
    CPPUNIT_ASSERT(hold(R"({"ClockMs":1,"EndedRuns":[],"Running":
      [["00000000000000aa.0.0.0",1,"",40.5,3.5]]})") == OrderEnd::Done);
  }

  void OddAnswersToVmOrders()
  {
    platform::HttpVmCalls calls(base_, clock_, address_);
    for (const char* body :
         { R"({"Reason":7})", R"({"Reason":{}})", "\xff", "[]", "" }) {
      answer_ = { 409, {}, body };
      std::optional<VmOrderEnd> end;
      calls.Move("m", "p", {}, [&](VmOrderEnd aEnd) { end = aEnd; });
      RunUntil([&] { return end.has_value(); });
      CPPUNIT_ASSERT(*end == VmOrderEnd::Busy);
    }
  }

  void AnOddVmCostsOnlyItself()
  {
    platform::HttpVmCalls calls(base_, clock_, address_);
    answer_ = { 200, {}, R"({"Machines":[
      {"Machine":"m-1","Pool":"p","State":"up","Capacity":{"Cpu":1}},
      7,
      {"Machine":7,"Pool":"p","State":"up","Capacity":{"Cpu":1}},
      {"Machine":"m-2","Pool":"p","State":"up","Capacity":{"Cpu":1e308}},
      {"Machine":"m-3","Pool":"p","State":"up","Capacity":{"Cpu":-1}},
      {"Machine":"m-4","Pool":"p","State":"up","Capacity":{"Cpu":2}}],
      "NextToken":null})" };
    std::optional<Result<std::vector<PoolVm>>> vms;
    calls.List([&](const Result<std::vector<PoolVm>>& aVms) { vms = aVms; });
    RunUntil([&] { return vms.has_value(); });
    CPPUNIT_ASSERT(vms->has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), (*vms)->size());
    CPPUNIT_ASSERT_EQUAL(std::string("m-4"), (*vms)->back().vm_);
  }

  void OddAnswersOfTheStore()
  {
    platform::HttpKeyValueStore store(base_, clock_, address_, Millis(1000));
    for (const char* body : { R"({"items":[{"Key":7}],"AsOf":1})",
                              R"({"items":[{"Key":"k","Rev":1e300}],"AsOf":1})",
                              R"({"items":[{"Key":"k","Rev":-1}],"AsOf":1})",
                              R"({"items":7,"AsOf":1})",
                              R"({"items":[],"AsOf":"x"})",
                              "\xff",
                              "[]" }) {
      answer_ = { 200, {}, body };
      std::optional<bool> isRead;
      store.Range("p/", "", [&](const Result<StorePage>& aPage) {
        isRead = aPage.has_value();
      });
      RunUntil([&] { return isRead.has_value(); });
      CPPUNIT_ASSERT_MESSAGE(body, !*isRead);
      // A transaction whose outcome cannot be read may have been committed.
      std::optional<CommitEnd> end;
      store.Commit(Transaction(),
                   [&](const CommitResult& aResult) { end = aResult.end_; });
      RunUntil([&] { return end.has_value(); });
      CPPUNIT_ASSERT_MESSAGE(body, *end == CommitEnd::Unknown);
    }
  }

private:
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

  SteadyClock clock_;
  event_base* base_ = nullptr;
  HttpAnswer answer_{ 200, {}, {} };
  Endpoint address_;
  std::unique_ptr<HttpServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddAnswersTest);

} // namespace coltsfootshed
