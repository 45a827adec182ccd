/// \file
/// The clock that every decision takes: milliseconds since an unspecified
/// start, never going backwards.
#ifndef COLTSFOOTSHED_SUPPORT_CLOCK_H
#define COLTSFOOTSHED_SUPPORT_CLOCK_H

#include <chrono>

namespace coltsfootshed {

/// A duration or a point in time, in milliseconds.
using Millis = std::chrono::milliseconds;

/// Source of the current time.
class Clock
{
public:
  virtual ~Clock() = default;
  /// Milliseconds since an unspecified start.
  virtual Millis Now() const = 0;
};

/// The machine's monotonic clock.
class SteadyClock final : public Clock
{
public:
  Millis Now() const override
  {
    auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(sinceStart);
  }
};

} // namespace coltsfootshed

#endif
