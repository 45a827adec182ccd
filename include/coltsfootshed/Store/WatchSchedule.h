/// \file
/// Decides how long each watch of a prefix may wait for events and when a
/// failed call is repeated, and tracks how old the known content is.
#ifndef COLTSFOOTSHED_STORE_WATCHSCHEDULE_H
#define COLTSFOOTSHED_STORE_WATCHSCHEDULE_H

#include "coltsfootshed/Support/Backoff.h"

namespace coltsfootshed {

/// That a watch gets no answer shows only when its wait and the time-out of a
/// call are over. So a watch waits no longer than until the known content would
/// be as old as the longest wait. If it is older, as after a lost call, the
/// watch does not wait and only shows whether the store answers.
class WatchSchedule
{
public:
  /// aSeed is the seed for the random part of retry delays.
  WatchSchedule(const Clock& aClock, Millis aLongestWait, std::uint64_t aSeed);

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
  Millis longestWait_;
  Backoff backoff_;
  int failures_ = 0;
  Millis sentAt_{ 0 };      ///< of the last call
  Millis rangeSentAt_{ 0 }; ///< of the first page
  Millis wait_{ 0 };        ///< of the last watch
  Millis knownAsOf_{ 0 };
};

} // namespace coltsfootshed

#endif
