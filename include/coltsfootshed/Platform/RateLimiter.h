/// \file
/// Limits the rate of the calls that one node makes to the platform.
#ifndef COLTSFOOTSHED_PLATFORM_RATELIMITER_H
#define COLTSFOOTSHED_PLATFORM_RATELIMITER_H

#include "coltsfootshed/Support/Clock.h"

#include <algorithm>

namespace coltsfootshed {

/// A token bucket that time refills.
class RateLimiter
{
public:
  RateLimiter(const Clock& aClock, double aTokensPerSecond, double aBurst)
    : clock_(aClock)
    , tokensPerSecond_(aTokensPerSecond)
    , burst_(aBurst)
    , tokens_(aBurst)
    , refilledAt_(aClock.Now())
  {
  }

  /// Takes a token; returns false if none is left.
  bool TryTake()
  {
    Millis now = clock_.Now();
    double earned =
      double((now - refilledAt_).count()) * tokensPerSecond_ / 1000.0;
    refilledAt_ = now;
    tokens_ = std::min(burst_, tokens_ + earned);
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  const Clock& clock_;
  double tokensPerSecond_;
  double burst_;
  double tokens_;
  Millis refilledAt_;
};

} // namespace coltsfootshed

#endif
