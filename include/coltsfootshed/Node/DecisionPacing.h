/// \file
/// Decides how long a leader collects events before its next decision.
#ifndef COLTSFOOTSHED_NODE_DECISIONPACING_H
#define COLTSFOOTSHED_NODE_DECISIONPACING_H

#include "coltsfootshed/Support/Clock.h"

#include <algorithm>

namespace coltsfootshed {

/// Returns the delay of a decision after an event, given how long the last one
/// took. Designed for a backlog of hundreds of jobs on a VM with a part of a
/// core: decisions take at most a fifth of its time, so that the rest is left
/// for sending orders and reading answers. The delay stays far below the time
/// of a task.
inline Millis DecisionDelayAfter(Millis aTook)
{
  /// One decision covers events that come close together.
  constexpr Millis kShortest{ 4 };
  constexpr Millis kLongest{ 40 };
  constexpr int kPausePerWork = 4;
  return std::clamp(kPausePerWork * aTook, kShortest, kLongest);
}

} // namespace coltsfootshed

#endif
