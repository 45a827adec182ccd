#include "coltsfootshed/Scheduling/ArrivalRate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace coltsfootshed {

/// Span over which arriving work is averaged. It is short compared with the
/// seconds for which one queue asks for several times its mean.
static constexpr Millis kAverageSpan{ 500 };
/// Shorter spans, which show a rise sooner.
static constexpr std::array kShortAverageSpans = { Millis(100), Millis(200) };
/// Time from the order to move a VM until its first run: the move, which takes
/// 1.5 s according to the platform's terms, and the delay until the scheduler
/// learns of it.
static constexpr double kMoveLeadSeconds = 2.0;
/// The expected rate is at most this many times the current rate.
static constexpr double kMaxGrowthFactor = 1.5;

/// Converts the work of a span to a rate in thousandths of a core.
static double RateOf(double aWork, Millis aSpan)
{
  return aWork / static_cast<double>(aSpan.count());
}

void ArrivalRate::Add(Millis aArrivedAt, double aWork)
{
  arrivals_.emplace_back(aArrivedAt, aWork);
  while (arrivals_.front().first < aArrivedAt - 2 * kAverageSpan) {
    arrivals_.pop_front();
  }
}

ArrivalRate::Sum ArrivalRate::Between(Millis aFrom, Millis aTo) const
{
  Sum sum;
  for (const auto& [at, work] : arrivals_) {
    if (at >= aFrom && at < aTo) {
      sum.work_ += work;
      sum.squares_ += work * work;
    }
  }
  return sum;
}

/// Returns the rate of arrivals at aNow: the highest over several spans. The
/// standard error is subtracted for all spans but the longest, so that a few
/// jobs that arrive together by chance do not count as a rise.
double ArrivalRate::CurrentRate(Millis aNow) const
{
  Millis end = aNow + Millis(1);
  double rate = RateOf(Between(aNow - kAverageSpan, end).work_, kAverageSpan);
  for (Millis span : kShortAverageSpans) {
    Sum sum = Between(aNow - span, end);
    rate = std::max(rate, RateOf(sum.work_ - std::sqrt(sum.squares_), span));
  }
  return rate;
}

double ArrivalRate::ExpectedRate(Millis aNow) const
{
  double currentRate = CurrentRate(aNow);
  Sum previous = Between(aNow - 2 * kAverageSpan, aNow - kAverageSpan);
  Sum latest = Between(aNow - kAverageSpan, aNow + Millis(1));
  double error = std::sqrt(previous.squares_ + latest.squares_);
  double rise = RateOf(latest.work_ - previous.work_ - error, kAverageSpan);
  double risePerSecond =
    std::max(0.0, rise) * 1000.0 / static_cast<double>(kAverageSpan.count());
  return std::min(currentRate + risePerSecond * kMoveLeadSeconds,
                  kMaxGrowthFactor * currentRate);
}

} // namespace coltsfootshed
