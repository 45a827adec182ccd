/// \file
/// Tests that what is meant for one incarnation of a target reaches no other:
/// a restarted target has another clock and counts its ends anew.

#include "HttpTargetCalls.h"
#include "Support/FreeAddress.h"
#include "coltsfootshed/Http/Server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>
#include <optional>

namespace coltsfootshed {

class TargetIncarnationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetIncarnationTest);
  CPPUNIT_TEST(AStartReachesOnlyItsIncarnation);
  CPPUNIT_TEST(ALeaseReachesOnlyItsIncarnation);
  CPPUNIT_TEST(AnEndIsAcknowledgedOnlyToItsIncarnation);
  CPPUNIT_TEST(AStartOnANewConnectionIsSentToItsIncarnation);
  CPPUNIT_TEST(ARefusedFenceIsReported);
  CPPUNIT_TEST(StartsOfOneTargetShareConnections);
  CPPUNIT_TEST(StartsEndIfTheTargetIsGone);
  CPPUNIT_TEST(ALeaseIsRenewedThoughOtherOrdersFillThePool);
  CPPUNIT_TEST(AStartIsSentThoughOtherOrdersFillThePool);
  CPPUNIT_TEST(FewOrdersOfOneTargetAreInFlight);
  CPPUNIT_TEST(AnAnsweredQuestionIsNoRenewal);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    base_ = event_base_new();
    target_.id_ = "i-1";
    target_.address_ = FreeAddress();
    calls_ = std::make_unique<platform::HttpTargetCalls>(base_, clock_);
    Restart(1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), Hold({}).startedAt_);
    questions_ = 0;
  }
  void tearDown() override
  {
    calls_.reset();
    delayed_.clear();
    delayedHolds_.clear();
    server_.reset();
    event_base_free(base_);
  }

  /// TWICE: a target that had restarted took a start with the clock of its
  /// earlier incarnation for a lease of twice its length, and worked on while
  /// the task ran elsewhere.
  void AStartReachesOnlyItsIncarnation()
  {
    CPPUNIT_ASSERT(Start(1) == OrderEnd::Done);
    CPPUNIT_ASSERT_EQUAL(1, starts_);
    Restart(2);
    CPPUNIT_ASSERT(Start(1) == OrderEnd::NotSent);
    CPPUNIT_ASSERT_EQUAL(0, starts_);
    CPPUNIT_ASSERT(Start(2) == OrderEnd::Done);
    CPPUNIT_ASSERT_EQUAL(1, starts_);
  }

  /// TWICE, as above, by a renewal.
  void ALeaseReachesOnlyItsIncarnation()
  {
    HoldOrder order;
    order.startedAt_ = 1;
    order.leaseUntil_ = 17000;
    CPPUNIT_ASSERT(Hold(order).end_ == OrderEnd::Done);
    CPPUNIT_ASSERT_EQUAL(1, renewals_);
    Restart(2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), Hold(order).startedAt_);
    CPPUNIT_ASSERT_EQUAL(0, renewals_);
  }

  /// An end of the new incarnation that nobody has read would be forgotten, and
  /// its task would run again.
  void AnEndIsAcknowledgedOnlyToItsIncarnation()
  {
    HoldOrder order;
    order.startedAt_ = 1;
    order.acknowledged_ = 5;
    CPPUNIT_ASSERT(Hold(order).end_ == OrderEnd::Done);
    CPPUNIT_ASSERT_EQUAL(5, acknowledged_);
    Restart(2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), Hold(order).startedAt_);
    CPPUNIT_ASSERT_EQUAL(0, acknowledged_);
  }

  /// A break of connections is no restart.
  void AStartOnANewConnectionIsSentToItsIncarnation()
  {
    Restart(1);
    CPPUNIT_ASSERT(Start(1) == OrderEnd::Done);
    CPPUNIT_ASSERT_EQUAL(1, starts_);
    HoldOrder order;
    order.startedAt_ = 1;
    order.leaseUntil_ = 17000;
    Restart(1);
    CPPUNIT_ASSERT(Hold(order).end_ == OrderEnd::Done);
    CPPUNIT_ASSERT_EQUAL(1, renewals_);
  }

  /// A leader that was replaced learns it from the question as well.
  void ARefusedFenceIsReported()
  {
    Restart(1);
    refusal_ = { 409, {}, R"({"ClockMs":1,"Reason":"fence"})" };
    CPPUNIT_ASSERT(Start(1) == OrderEnd::FenceTooLow);
    CPPUNIT_ASSERT_EQUAL(0, starts_);
  }

  /// Each new connection costs the leader a question to its target.
  void StartsOfOneTargetShareConnections()
  {
    constexpr int kStarts = 20;
    int done = 0;
    for (int i = 0; i < kStarts; ++i) {
      calls_->Start(target_, OrderFor(1), [&](const OrderAnswer& aAnswer) {
        done += aAnswer.end_ == OrderEnd::Done ? 1 : 0;
      });
    }
    RunUntil([&] { return done == kStarts; });
    CPPUNIT_ASSERT_EQUAL(kStarts, starts_);
    CPPUNIT_ASSERT(questions_ < 4);
  }

  void StartsEndIfTheTargetIsGone()
  {
    constexpr int kStarts = 5;
    Stop();
    int ended = 0;
    for (int i = 0; i < kStarts; ++i) {
      calls_->Start(target_, OrderFor(1), [&](const OrderAnswer& aAnswer) {
        CPPUNIT_ASSERT(aAnswer.end_ == OrderEnd::NotSent);
        ++ended;
      });
    }
    RunUntil([&] { return ended == kStarts; });
  }

  /// LOST and AVAIL, review/11: connections of paces, on which no incarnation
  /// had answered, filled the pool. No other could be identified any more, and
  /// no lease was renewed.
  void ALeaseIsRenewedThoughOtherOrdersFillThePool()
  {
    FillPoolWithPaces();
    HoldOrder order;
    order.startedAt_ = 1;
    order.leaseUntil_ = 17000;
    CPPUNIT_ASSERT(Hold(order).end_ == OrderEnd::Done);
    CPPUNIT_ASSERT_EQUAL(1, renewals_);
  }

  /// LOST, as above: each start ended as not sent.
  void AStartIsSentThoughOtherOrdersFillThePool()
  {
    FillPoolWithPaces();
    CPPUNIT_ASSERT(Start(1) == OrderEnd::Done);
    CPPUNIT_ASSERT_EQUAL(1, starts_);
  }

  /// Each stop or pace opened a connection of its own; a target has a limited
  /// number of them.
  void FewOrdersOfOneTargetAreInFlight()
  {
    constexpr int kOrders = 40;
    constexpr std::size_t kMostInFlight = 4;
    int ended = 0;
    std::size_t most = 0;
    // On a busy machine, some of them may wait for too long to be sent.
    auto count = [&](const OrderAnswer&) { ++ended; };
    for (int i = 0; i < kOrders / 2; ++i) {
      calls_->Stop(target_, StopOrder(), count);
      calls_->Pace(target_, PaceOrder(), count);
    }
    RunUntil([&] {
      most = std::max(most, delayed_.size());
      AnswerDelayed();
      return ended == kOrders;
    });
    CPPUNIT_ASSERT(most <= kMostInFlight);
  }

  /// AVAIL, review/11: the answer to the question before a hold was taken for
  /// the answer to the hold.
  void AnAnsweredQuestionIsNoRenewal()
  {
    Restart(1);
    server_->CloseAfterAnswers();
    HoldOrder order;
    order.startedAt_ = 1;
    order.leaseUntil_ = 17000;
    CPPUNIT_ASSERT(Hold(order).end_ == OrderEnd::NotSent);
    CPPUNIT_ASSERT_EQUAL(0, renewals_);
  }

private:
  /// Makes more paces at once than idle connections are kept, while a hold uses
  /// the only connection on which the target has answered.
  void FillPoolWithPaces()
  {
    constexpr int kPaces = 20;
    HoldOrder waiting;
    waiting.startedAt_ = 1;
    waiting.leaseUntil_ = 16000;
    bool isHoldDone = false;
    calls_->Hold(
      target_, waiting, [&](const HoldAnswer&) { isHoldDone = true; });
    int ended = 0;
    for (int i = 0; i < kPaces; ++i) {
      calls_->Pace(target_, PaceOrder(), [&](const OrderAnswer&) { ++ended; });
    }
    delaysHolds_ = true;
    RunUntil([&] {
      AnswerDelayed();
      return ended == kPaces;
    });
    delaysHolds_ = false;
    RunUntil([&] {
      AnswerDelayed();
      return isHoldDone;
    });
    renewals_ = 0;
  }

  void AnswerDelayed()
  {
    for (const auto& exchange : std::exchange(delayed_, {})) {
      exchange->Reply({ 200, {}, R"({"ClockMs":1})" });
    }
    if (!delaysHolds_) {
      for (const auto& exchange : std::exchange(delayedHolds_, {})) {
        Serve(exchange, startedAt_);
      }
    }
  }

  /// Ends the process that listens at the target's address, and lets this one
  /// see that its connections are closed.
  void Stop()
  {
    server_.reset();
    Millis end = clock_.Now() + Millis(50);
    RunUntil([&] { return clock_.Now() >= end; });
  }
  void Restart(std::int64_t aStartedAt)
  {
    Stop();
    starts_ = renewals_ = acknowledged_ = questions_ = 0;
    startedAt_ = aStartedAt;
    server_ = std::make_unique<HttpServer>(
      base_,
      ServerLimits(),
      [this, aStartedAt](const std::shared_ptr<ServerExchange>& aExchange) {
        Serve(aExchange, aStartedAt);
      });
    CPPUNIT_ASSERT(server_->Listen(target_.address_).has_value());
  }

  void Serve(const std::shared_ptr<ServerExchange>& aExchange,
             std::int64_t aStartedAt)
  {
    if (refusal_) {
      aExchange->Reply(*refusal_);
      return;
    }
    const HttpRequest& request = aExchange->Request();
    if (request.target_ == "/run-start") {
      ++starts_;
      aExchange->Reply({ 200, {}, R"({"ClockMs":1})" });
      return;
    }
    if (request.target_ != "/hold") {
      delayed_.push_back(aExchange);
      return;
    }
    if (delaysHolds_) {
      delayedHolds_.push_back(aExchange);
      return;
    }
    bool renews = request.body_.find("UntilMs") != std::string::npos;
    renewals_ += renews ? 1 : 0;
    questions_ += renews ? 0 : 1;
    if (request.body_.find(R"("LastSeen":5)") != std::string::npos) {
      acknowledged_ = 5;
    }
    aExchange->Reply({ 200,
                       {},
                       R"({"ClockMs":1,"Running":[],"EndedRuns":[],"born":)" +
                         std::to_string(aStartedAt) + "}" });
  }

  static StartOrder OrderFor(std::int64_t aStartedAt)
  {
    StartOrder order;
    order.task_.job_ = "00000000000000aa";
    order.leaseUntil_ = 17000;
    order.startedAt_ = aStartedAt;
    return order;
  }

  OrderEnd Start(std::int64_t aStartedAt)
  {
    std::optional<OrderEnd> end;
    calls_->Start(target_,
                  OrderFor(aStartedAt),
                  [&](const OrderAnswer& aAnswer) { end = aAnswer.end_; });
    RunUntil([&] { return end.has_value(); });
    return *end;
  }

  HoldAnswer Hold(const HoldOrder& aOrder)
  {
    std::optional<HoldAnswer> answer;
    calls_->Hold(
      target_, aOrder, [&](const HoldAnswer& aAnswer) { answer = aAnswer; });
    RunUntil([&] { return answer.has_value(); });
    return *answer;
  }

  template<typename Condition>
  void RunUntil(const Condition& aCondition)
  {
    constexpr Millis kLimit{ 20000 }; ///< far more than a busy machine needs
    Millis end = clock_.Now() + kLimit;
    while (!aCondition()) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      timeval poll{ 0, 5000 };
      event_base_loopexit(base_, &poll);
      event_base_dispatch(base_);
    }
  }

  SteadyClock clock_;
  event_base* base_ = nullptr;
  TargetInfo target_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<platform::HttpTargetCalls> calls_;
  std::optional<HttpAnswer> refusal_; ///< to all requests
  std::int64_t startedAt_ = 0;        ///< of the current process
  bool delaysHolds_ = false;
  // Requests that wait for AnswerDelayed().
  std::vector<std::shared_ptr<ServerExchange>> delayed_;
  std::vector<std::shared_ptr<ServerExchange>> delayedHolds_;
  // What the current process at the address has got.
  int starts_ = 0;
  int renewals_ = 0;
  int acknowledged_ = 0;
  int questions_ = 0; ///< holds that renew nothing
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetIncarnationTest);

} // namespace coltsfootshed
