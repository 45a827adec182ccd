#include "coltsfootshed/Scheduling/ArrivalRate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace coltsfootshed {

/// Span over which work is averaged: short against the seconds for which one
/// queue asks for several times its mean.
static constexpr Millis kSpan{ 500 };
/// Shorter ones, which show a rise sooner.
static constexpr std::array kShortSpans = { Millis(100), Millis(200) };
/// From the order to move a VM to its first run: the move, 1.5 s in the
/// platform's terms, and news of it.
static constexpr double kLead = 2.0; // s
/// A rise is not followed further than to this many times the present rate.
static constexpr double kMostRise = 1.5;

/// Work within a span as a rate: thousandths of a core.
static double RateOf(double aWork, Millis aSpan)
{
  return aWork / static_cast<double>(aSpan.count());
}

void ArrivalRate::Add(Millis aNow, double aWork)
{
  arrivals_.emplace_back(aNow, aWork);
  while (arrivals_.front().first < aNow - 2 * kSpan) {
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

/// The highest rate of some spans, each but the longest less its standard
/// error: a few jobs that come together by chance are no rise.
double ArrivalRate::Level(Millis aNow) const
{
  Millis end = aNow + Millis(1);
  double level = RateOf(Between(aNow - kSpan, end).work_, kSpan);
  for (Millis span : kShortSpans) {
    Sum sum = Between(aNow - span, end);
    level = std::max(level, RateOf(sum.work_ - std::sqrt(sum.squares_), span));
  }
  return level;
}

double ArrivalRate::Expected(Millis aNow) const
{
  double level = Level(aNow);
  Sum before = Between(aNow - 2 * kSpan, aNow - kSpan);
  Sum lately = Between(aNow - kSpan, aNow + Millis(1));
  double error = std::sqrt(before.squares_ + lately.squares_);
  double rise = RateOf(lately.work_ - before.work_ - error, kSpan);
  double perSecond =
    std::max(0.0, rise) * 1000.0 / static_cast<double>(kSpan.count());
  return std::min(level + perSecond * kLead, kMostRise * level);
}

} // namespace coltsfootshed
