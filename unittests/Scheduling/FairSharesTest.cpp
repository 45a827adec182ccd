/// \file
/// Replays a peak with one account that sends eight times its usual, and checks
/// that it pays for that itself.

#include "Scheduling/LoadReplay.h"
#include "coltsfootshed/Admission/StrideOrder.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

namespace coltsfootshed {

class FairSharesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairSharesTest);
  CPPUNIT_TEST(SharesFollowWeights);
  CPPUNIT_TEST(AnIdleAccountSavesNothingUp);
  CPPUNIT_TEST(AHotAccountPaysForItself);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kAccounts = 20;
  static constexpr int kTargets = 30;
  static constexpr int kHot = 4; ///< number of the hot account

public:
  void SharesFollowWeights()
  {
    StrideOrder order;
    int large = 0;
    for (int i = 0; i < 400; ++i) {
      bool isLarge = order.PassOf("large") <= order.PassOf("small");
      order.Charge(isLarge ? "large" : "small", 10, isLarge ? 3 : 1);
      large += isLarge ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(300, large);
  }

  void AnIdleAccountSavesNothingUp()
  {
    StrideOrder order;
    for (int i = 0; i < 100; ++i) {
      order.Charge("busy", 10, 1);
    }
    int idle = 0;
    for (int i = 0; i < 10; ++i) {
      bool isIdle = order.PassOf("idle") < order.PassOf("busy");
      order.Charge(isIdle ? "idle" : "busy", 10, 1);
      idle += isIdle ? 1 : 0;
    }
    CPPUNIT_ASSERT(idle >= 4 && idle <= 6);
  }

  /// The queue asks for five times its mean, somewhat more than the pool holds.
  void AHotAccountPaysForItself()
  {
    auto others = [](const LoadReplay::Outcome& aOutcome) {
      return aOutcome.arrival_.account_ != Name(kHot);
    };
    auto hot = [](const LoadReplay::Outcome& aOutcome) {
      return aOutcome.arrival_.account_ == Name(kHot);
    };
    std::vector<LoadReplay::Outcome> calm = Replay(1);
    std::vector<LoadReplay::Outcome> flooded = Replay(8);
    double before = MeanWorth(calm, others);
    double after = MeanWorth(flooded, others);
    double hotJobs =
      static_cast<double>(std::count_if(flooded.begin(), flooded.end(), hot));
    double hotUsual =
      static_cast<double>(std::count_if(calm.begin(), calm.end(), hot));
    double hotBefore = MeanWorth(calm, hot) * hotUsual;
    double hotAfter = MeanWorth(flooded, hot) * hotJobs;
    std::cerr << "others: " << before << " without, " << after
              << " with the hot account, which earns " << hotBefore << " and "
              << hotAfter << "\n";
    CPPUNIT_ASSERT(before > 0.5);
    CPPUNIT_ASSERT(after >= before - 0.03);
    CPPUNIT_ASSERT(hotAfter >= hotBefore);
  }

private:
  static std::string Name(int aAccount)
  {
    return "account-" + std::to_string(aAccount);
  }
  /// A few accounts are large.
  static std::int64_t WeightOf(int aAccount)
  {
    return std::max(1, 40 / (aAccount + 1));
  }

  static std::vector<LoadReplay::Outcome> Replay(int aHotFactor)
  {
    std::vector<AccountConfig> accounts;
    std::mt19937 random(7);
    std::vector<LoadReplay::Arrival> arrivals;
    // The peak follows some time of mean traffic, a fifth of it.
    constexpr std::int64_t kCalmMs = 2000;
    constexpr std::int64_t kPeakMs = 6500;
    auto add = [&](int aAccount, double aJobs, std::int64_t aFrom, auto aSpan) {
      for (int j = 0; j < static_cast<int>(aJobs); ++j) {
        auto offset = static_cast<std::int64_t>(random() % aSpan);
        arrivals.push_back({ Millis(aFrom + offset), Name(aAccount) });
      }
    };
    for (int i = 0; i < kAccounts; ++i) {
      AccountConfig account;
      account.name_ = Name(i);
      account.weight_ = WeightOf(i);
      accounts.push_back(account);
      // In the peak, an account usually sends 0.4 times its agreed rate.
      double perMs = 0.0004 * static_cast<double>(WeightOf(i)) *
                     (i == kHot ? aHotFactor : 1);
      add(i, perMs * kCalmMs / 5, 0, kCalmMs);
      add(i, perMs * kPeakMs, kCalmMs, kPeakMs);
    }
    std::sort(arrivals.begin(),
              arrivals.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.at_ < aRight.at_;
              });
    LoadReplay replay(kTargets, accounts);
    return replay.Run(std::move(arrivals), Millis(10000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairSharesTest);

} // namespace coltsfootshed
