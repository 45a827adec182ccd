/// \file
/// Decides how long each watch of a prefix may wait for events and when a
/// failed call is repeated, and tracks how old the known content is.
#ifndef COLTSFOOTSHED_STORE_WATCHSCHEDULE_H
#define COLTSFOOTSHED_STORE_WATCHSCHEDULE_H

#include "coltsfootshed/Support/Backoff.h"

namespace coltsfootshed {

/// An unanswered watch shows only when its wait and the time-out of a call are
/// over. So a watch waits no longer than until the content would be aMaxWait
/// old, and one that follows a failure does not wait: it only shows whether the
/// store answers.
class WatchSchedule
{
public:
  /// aMaxWait is the longest wait of a watch; aSeed is the seed for the random
  /// part of retry delays.
  WatchSchedule(const Clock& aClock, Millis aMaxWait, std::uint64_t aSeed);

  /// Longest delay before a failed call is repeated.
  static constexpr Millis kMaxRetryDelay{ 400 };

  /// Notes that a page of the range is read.
  void OnPageSent(bool aIsFirst);
  void OnRangeRead();
  /// Notes that a watch is sent and returns how long it may wait for events.
  Millis OnWatchSent();
  void OnWatched(bool aHasEvents);
  /// Notes that the last call was answered.
  void OnAnswered();
  /// Notes that the last call failed and returns the delay before the next.
  Millis OnFailure();

  /// Returns how many calls in a row have failed.
  int Failures() const { return failures_; }
  Millis SinceSent() const { return clock_.Now() - sentAt_; }
  /// Returns the age of the known content: all changes that the store accepted
  /// longer ago are known. Counted from the sending of a call, as its answer
  /// may arrive late.
  Millis Age() const { return clock_.Now() - knownAsOf_; }

private:
  const Clock& clock_;
  Millis maxWait_;
  Backoff backoff_;
  int failures_ = 0;
  Millis sentAt_{ 0 };      ///< of the last call
  Millis rangeSentAt_{ 0 }; ///< of the first page
  Millis wait_{ 0 };        ///< of the last watch
  Millis knownAsOf_{ 0 };
};

} // namespace coltsfootshed

#endif
