/// \file
/// Bounded exponential backoff with jitter, which keeps nodes from retrying at
/// the same moment after an outage.
#ifndef COLTSFOOTSHED_SUPPORT_BACKOFF_H
#define COLTSFOOTSHED_SUPPORT_BACKOFF_H

#include "coltsfootshed/Support/Clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace coltsfootshed {

/// Each delay is drawn uniformly between half of its bound and the bound, which
/// doubles from delay to delay.
class Backoff
{
public:
  Backoff(Millis aFirst, Millis aMax, std::uint64_t aSeed)
    : first_(aFirst)
    , max_(aMax)
    , bound_(aFirst)
    , random_(aSeed)
  {
  }

  /// Returns the next delay.
  Millis Next()
  {
    std::uniform_int_distribution<std::int64_t> draw(bound_.count() / 2,
                                                     bound_.count());
    bound_ = std::min(max_, bound_ * 2);
    return Millis(draw(random_));
  }

  /// Starts again with the first bound, for use after a success.
  void Reset() { bound_ = first_; }

private:
  Millis first_;
  Millis max_;
  Millis bound_;
  std::mt19937_64 random_;
};

} // namespace coltsfootshed

#endif
