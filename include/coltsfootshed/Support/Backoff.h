/// \file
/// Delays between retries: doubling, bounded and jittered, so that nodes do
/// not retry in step after an outage.
#ifndef COLTSFOOTSHED_SUPPORT_BACKOFF_H
#define COLTSFOOTSHED_SUPPORT_BACKOFF_H

#include "coltsfootshed/Support/Clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace coltsfootshed {

/// Each delay is drawn evenly from half to the whole of its bound.
class Backoff
{
public:
  Backoff(Millis aFirst, Millis aMost, std::uint64_t aSeed)
    : first_(aFirst)
    , most_(aMost)
    , bound_(aFirst)
    , random_(aSeed)
  {
  }

  Millis Next()
  {
    std::uniform_int_distribution<std::int64_t> draw(bound_.count() / 2,
                                                     bound_.count());
    bound_ = std::min(most_, bound_ * 2);
    return Millis(draw(random_));
  }

  void Reset() { bound_ = first_; }

private:
  Millis first_;
  Millis most_;
  Millis bound_;
  std::mt19937_64 random_;
};

} // namespace coltsfootshed

#endif
