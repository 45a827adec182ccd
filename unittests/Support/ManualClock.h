/// \file
/// A clock that advances only when a test says so.
#ifndef COLTSFOOTSHED_UNITTESTS_SUPPORT_MANUALCLOCK_H
#define COLTSFOOTSHED_UNITTESTS_SUPPORT_MANUALCLOCK_H

#include "coltsfootshed/Support/Clock.h"

namespace coltsfootshed {

class ManualClock final : public Clock
{
public:
  Millis Now() const override { return now_; }
  void Advance(Millis aDuration) { now_ += aDuration; }

private:
  Millis now_{ 1000 };
};

} // namespace coltsfootshed

#endif
