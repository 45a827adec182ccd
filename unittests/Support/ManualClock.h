/// \file
/// A clock that tests set.
#ifndef COLTSFOOTSHED_UNITTESTS_SUPPORT_MANUALCLOCK_H
#define COLTSFOOTSHED_UNITTESTS_SUPPORT_MANUALCLOCK_H

#include "coltsfootshed/Support/Clock.h"

namespace coltsfootshed {

class ManualClock final : public Clock
{
public:
  Millis Now() const override { return now_; }
  void Advance(Millis aTime) { now_ += aTime; }

private:
  Millis now_{ 1000 };
};

} // namespace coltsfootshed

#endif
