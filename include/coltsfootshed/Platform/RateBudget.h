/// \file
/// Bounds the calls that one node makes to the platform.
#ifndef COLTSFOOTSHED_PLATFORM_RATEBUDGET_H
#define COLTSFOOTSHED_PLATFORM_RATEBUDGET_H

#include "coltsfootshed/Support/Clock.h"

#include <algorithm>

namespace coltsfootshed {

/// A token bucket over time.
class RateBudget
{
public:
  RateBudget(const Clock& aClock, double aPerSecond, double aBurst)
    : clock_(aClock)
    , perSecond_(aPerSecond)
    , burst_(aBurst)
    , tokens_(aBurst)
    , filledAt_(aClock.Now())
  {
  }

  bool TryTake()
  {
    Millis now = clock_.Now();
    double earned = double((now - filledAt_).count()) * perSecond_ / 1000.0;
    filledAt_ = now;
    tokens_ = std::min(burst_, tokens_ + earned);
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  const Clock& clock_;
  double perSecond_;
  double burst_;
  double tokens_;
  Millis filledAt_;
};

} // namespace coltsfootshed

#endif
