#include "coltsfootshed/Store/WatchSchedule.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr Millis kFirstRetryDelay{ 50 };
/// The shortest wait that a watch may have.
static constexpr Millis kMinWait{ 1 };

WatchSchedule::WatchSchedule(const Clock& aClock,
                             Millis aMaxWait,
                             std::uint64_t aSeed)
  : clock_(aClock)
  , maxWait_(std::max(aMaxWait, kMinWait))
  , backoff_(kFirstRetryDelay, kMaxRetryDelay, aSeed)
{
}

void WatchSchedule::OnPageSent(bool aIsFirst)
{
  sentAt_ = clock_.Now();
  if (aIsFirst) {
    rangeSentAt_ = sentAt_;
  }
}

void WatchSchedule::OnRangeRead()
{
  // Later pages are newer, but a key may have changed after its page was read.
  knownAsOf_ = rangeSentAt_;
}

Millis WatchSchedule::OnWatchSent()
{
  sentAt_ = clock_.Now();
  wait_ =
    failures_ > 0 ? kMinWait : std::clamp(maxWait_ - Age(), kMinWait, maxWait_);
  return wait_;
}

void WatchSchedule::OnWatched(bool aHasEvents)
{
  // The store answers without events only at the end of the wait.
  Millis waited = aHasEvents ? Millis(0) : wait_;
  knownAsOf_ = std::min(sentAt_ + waited, clock_.Now());
}

void WatchSchedule::OnAnswered()
{
  failures_ = 0;
  backoff_.Reset();
}

Millis WatchSchedule::OnFailure()
{
  ++failures_;
  return backoff_.Next();
}

} // namespace coltsfootshed
