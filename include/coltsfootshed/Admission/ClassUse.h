/// \file
/// Tracks how many slots a class has needed of late.
#ifndef COLTSFOOTSHED_ADMISSION_CLASSUSE_H
#define COLTSFOOTSHED_ADMISSION_CLASSUSE_H

#include "coltsfootshed/Support/Clock.h"

#include <algorithm>
#include <cstdint>

namespace coltsfootshed {

/// Running requests of one class, and the highest demand over the current and
/// the previous window.
class ClassUse
{
public:
  std::int64_t Running() const { return running_; }
  void Start() { ++running_; }
  void End() { --running_; }

  /// Notes a demand (running and waiting) at aNow.
  void Note(std::int64_t aDemand, Millis aNow)
  {
    Roll(aNow);
    current_ = std::max(current_, aDemand);
  }

  std::int64_t RecentPeak() const { return std::max(current_, previous_); }

private:
  static constexpr Millis kWindow{ 2000 };

  void Roll(Millis aNow)
  {
    if (aNow - windowStart_ < kWindow) {
      return;
    }
    bool idleWindow = aNow - windowStart_ >= 2 * kWindow;
    previous_ = idleWindow ? 0 : current_;
    current_ = 0;
    windowStart_ = aNow;
  }

  std::int64_t running_ = 0;
  std::int64_t current_ = 0;
  std::int64_t previous_ = 0;
  Millis windowStart_{ 0 };
};

} // namespace coltsfootshed

#endif
