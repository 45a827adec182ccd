/// \file
/// Sources of the current time. Decision code takes a Clock, so that tests can
/// set the time.
#ifndef COLTSFOOTSHED_SUPPORT_CLOCK_H
#define COLTSFOOTSHED_SUPPORT_CLOCK_H

#include <chrono>
#include <ctime>

namespace coltsfootshed {

/// A duration or a point in time, in milliseconds.
using Millis = std::chrono::milliseconds;

/// A source of the current time, which never goes backwards unless a subclass
/// says otherwise.
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

/// A steady clock that also counts the time for which the machine was
/// suspended, so that information does not appear fresher than it is.
class SuspendAwareClock final : public Clock
{
public:
  Millis Now() const override
  {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::duration_cast<Millis>(
             std::chrono::nanoseconds(now.tv_nsec));
  }
};

/// The time of day in milliseconds since 1970. It may jump; only the due times
/// and acceptance times of jobs use it.
class WallClock final : public Clock
{
public:
  Millis Now() const override
  {
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(sinceEpoch);
  }
};

} // namespace coltsfootshed

#endif
