/// \file
/// Tests how advice is asked for from a service that answers in turn, handles
/// each call that it has received, and may be slow, silent or full.

#include "coltsfootshed/Targets/AdviceQueue.h"
#include "Support/ManualClock.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>
#include <memory>

namespace coltsfootshed {

/// The advice service. Calls are answered when Step() finds them due.
class FakeAdviceService final : public AdviceCalls
{
public:
  explicit FakeAdviceService(const Clock& aClock)
    : clock_(aClock)
  {
  }

  void Ask(const std::string&,
           const std::vector<std::string>&,
           std::function<void(Advice)> aOnEnd) override
  {
    ++calls_;
    if (losesCalls_) {
      return;
    }
    line_.push_back({ std::move(aOnEnd), refuses_ });
    most_ = std::max(most_, line_.size());
  }

  void Step()
  {
    if (line_.empty()) {
      return;
    }
    if (!line_.front().isRefused_) {
      if (frontEndsAt_ == Millis(0)) {
        frontEndsAt_ = clock_.Now() + takes_;
      }
      if (clock_.Now() < std::max(frontEndsAt_, standsStillUntil_)) {
        return;
      }
    }
    frontEndsAt_ = Millis(0);
    WaitingCall call = std::move(line_.front());
    line_.pop_front();
    Advice advice;
    advice.answered_ = !call.isRefused_;
    call.onEnd_(advice);
  }

  Millis takes_{ 350 };
  Millis standsStillUntil_{ 0 };
  bool losesCalls_ = false;
  bool refuses_ = false;
  int calls_ = 0;
  std::size_t most_ = 0; ///< calls that it had at once

private:
  struct WaitingCall
  {
    std::function<void(Advice)> onEnd_;
    bool isRefused_ = false;
  };

  const Clock& clock_;
  std::deque<WaitingCall> line_;
  /// When the call at the front of the line is handled; 0: not begun.
  Millis frontEndsAt_{ 0 };
};

class AdviceQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AdviceQueueTest);
  CPPUNIT_TEST(FewQuestionsOfABurstAreAtTheService);
  CPPUNIT_TEST(CallsThatTakeLongAreAnswered);
  CPPUNIT_TEST(AServiceThatStandsStillCatchesUp);
  CPPUNIT_TEST(LostCallsHoldUpNobodyForLong);
  CPPUNIT_TEST(OneLostCallIsAskedAgain);
  CPPUNIT_TEST(ARefusingServiceIsLeftAlone);
  CPPUNIT_TEST(WhatNobodyNeedsIsNotSent);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    base_ = event_base_new();
    clock_ = std::make_unique<ManualClock>();
    service_ = std::make_unique<FakeAdviceService>(*clock_);
    queue_ = std::make_unique<AdviceQueue>(base_, *clock_, *service_);
    answered_ = late_ = unanswered_ = 0;
    isWanted_ = true;
  }
  void tearDown() override
  {
    queue_.reset();
    event_base_free(base_);
  }

  /// review/13, LOST: 24 calls at once filled the service, were given up after
  /// 3 s, and kept each later one waiting behind them.
  void FewQuestionsOfABurstAreAtTheService()
  {
    Ask(24);
    RunFor(Millis(24 * 350 + 1000));
    CPPUNIT_ASSERT_EQUAL(24, answered_);
    CPPUNIT_ASSERT_EQUAL(24, service_->calls_);
    CPPUNIT_ASSERT(service_->most_ <= 2);
  }

  /// Calls of more than 3 s were all given up.
  void CallsThatTakeLongAreAnswered()
  {
    for (int seconds : { 3, 4, 8, 20 }) {
      tearDown();
      setUp();
      service_->takes_ = Millis(1000 * seconds);
      Ask(6);
      RunFor(7 * service_->takes_ + Millis(1000));
      CPPUNIT_ASSERT_EQUAL(6, answered_);
      CPPUNIT_ASSERT(service_->calls_ <= 8);
    }
  }

  void AServiceThatStandsStillCatchesUp()
  {
    for (int seconds : { 1, 4, 10, 25 }) {
      tearDown();
      setUp();
      Ask(12);
      RunFor(Millis(1000));
      service_->standsStillUntil_ = clock_->Now() + Millis(1000 * seconds);
      RunFor(Millis(1000 * seconds + 14 * 350 + 1000));
      CPPUNIT_ASSERT_EQUAL(12, answered_);
      CPPUNIT_ASSERT(service_->calls_ <= 15);
      CPPUNIT_ASSERT(service_->most_ <= 6);
    }
  }

  /// Calls are lost for 5 s, as if the service was cut off.
  void LostCallsHoldUpNobodyForLong()
  {
    service_->losesCalls_ = true;
    Ask(12);
    RunFor(Millis(5000));
    service_->losesCalls_ = false;
    RunFor(Millis(4500 + 14 * 350 + 2000));
    CPPUNIT_ASSERT_EQUAL(12, answered_);
  }

  /// Without later calls, none shows that the only one was lost.
  void OneLostCallIsAskedAgain()
  {
    service_->losesCalls_ = true;
    Ask(1);
    RunFor(Millis(1000));
    service_->losesCalls_ = false;
    RunFor(Millis(3000));
    CPPUNIT_ASSERT_EQUAL(1, late_);
    CPPUNIT_ASSERT_EQUAL(1, answered_);
    CPPUNIT_ASSERT_EQUAL(0, unanswered_);
    RunFor(Millis(1500));
    CPPUNIT_ASSERT_EQUAL(1, unanswered_);
  }

  /// A refused question was asked again each 250 ms, whatever else was refused.
  void ARefusingServiceIsLeftAlone()
  {
    service_->refuses_ = true;
    Ask(20);
    RunFor(Millis(10000));
    CPPUNIT_ASSERT(service_->calls_ <= 20);
    CPPUNIT_ASSERT(service_->calls_ >= 5);
    service_->refuses_ = false;
    RunFor(Millis(2000 + 21 * 350));
    CPPUNIT_ASSERT_EQUAL(20, answered_);
  }

  void WhatNobodyNeedsIsNotSent()
  {
    Ask(10);
    RunFor(Millis(100));
    isWanted_ = false;
    RunFor(Millis(5000));
    CPPUNIT_ASSERT_EQUAL(2, service_->calls_);
    CPPUNIT_ASSERT_EQUAL(2, answered_);
    CPPUNIT_ASSERT_EQUAL(8, unanswered_);
  }

private:
  /// Asks again whenever a question is late or ends without an answer.
  void Ask(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      auto isDone = std::make_shared<bool>(false);
      AskUntilDone(isDone);
    }
  }

  void AskUntilDone(const std::shared_ptr<bool>& aIsDone)
  {
    queue_->Ask({ "step",
                  { "t1" },
                  [this, aIsDone] { return isWanted_ && !*aIsDone; },
                  [this, aIsDone] {
                    ++late_;
                    AskUntilDone(aIsDone);
                  },
                  [this, aIsDone](const Advice& aAdvice, bool aWasLate) {
                    if (aAdvice.answered_) {
                      answered_ += std::exchange(*aIsDone, true) ? 0 : 1;
                      return;
                    }
                    ++unanswered_;
                    if (!*aIsDone && !aWasLate && isWanted_) {
                      AskUntilDone(aIsDone);
                    }
                  } });
  }

  void RunFor(Millis aTime)
  {
    static constexpr Millis kStep{ 10 };
    for (Millis passed{ 0 }; passed < aTime; passed += kStep) {
      queue_->Step();
      service_->Step();
      clock_->Advance(kStep);
    }
  }

  event_base* base_ = nullptr;
  std::unique_ptr<ManualClock> clock_;
  std::unique_ptr<FakeAdviceService> service_;
  std::unique_ptr<AdviceQueue> queue_;
  bool isWanted_ = true; ///< all questions
  int answered_ = 0;     ///< questions
  int late_ = 0;         ///< calls
  int unanswered_ = 0;   ///< calls, and questions that were not sent
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceQueueTest);

} // namespace coltsfootshed
