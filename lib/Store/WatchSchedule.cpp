#include "coltsfootshed/Store/WatchSchedule.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr Millis kFirstRetryDelay{ 50 };
/// Short enough to notice the end of a store outage soon, long enough to limit
/// the load of the calls of all entry VMs during it.
static constexpr Millis kMaxRetryDelay{ 400 };
static constexpr Millis kShortestWait{ 1 };

WatchSchedule::WatchSchedule(const Clock& aClock,
                             Millis aLongestWait,
                             std::uint64_t aSeed)
  : clock_(aClock)
  , longestWait_(std::max(aLongestWait, kShortestWait))
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
  wait_ = std::clamp(longestWait_ - Age(), kShortestWait, longestWait_);
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
