/// \file
/// Tracks how many slots a class has needed recently.
#ifndef COLTSFOOTSHED_ADMISSION_CLASSUSAGE_H
#define COLTSFOOTSHED_ADMISSION_CLASSUSAGE_H

#include "coltsfootshed/Support/Clock.h"

#include <algorithm>
#include <cstdint>

namespace coltsfootshed {

/// Running requests of one class, and the highest demand over the current and
/// the previous window.
class ClassUsage
{
public:
  std::int64_t Running() const { return running_; }
  void Start() { ++running_; }
  void End() { --running_; }

  /// Records the class's demand at aNow: its requests running and waiting.
  void RecordDemand(std::int64_t aDemand, Millis aNow)
  {
    AdvanceWindow(aNow);
    currentPeak_ = std::max(currentPeak_, aDemand);
  }

  std::int64_t RecentPeak() const
  {
    return std::max(currentPeak_, previousPeak_);
  }

private:
  static constexpr Millis kWindow{ 2000 };

  void AdvanceWindow(Millis aNow)
  {
    if (aNow - windowStart_ < kWindow) {
      return;
    }
    bool idleWindow = aNow - windowStart_ >= 2 * kWindow;
    previousPeak_ = idleWindow ? 0 : currentPeak_;
    currentPeak_ = 0;
    windowStart_ = aNow;
  }

  std::int64_t running_ = 0;
  std::int64_t currentPeak_ = 0;
  std::int64_t previousPeak_ = 0;
  Millis windowStart_{ 0 };
};

} // namespace coltsfootshed

#endif
