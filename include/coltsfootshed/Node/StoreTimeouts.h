/// \file
/// How long calls to the store may take.
#ifndef COLTSFOOTSHED_NODE_STORETIMEOUTS_H
#define COLTSFOOTSHED_NODE_STORETIMEOUTS_H

#include "coltsfootshed/Support/Clock.h"

#include <algorithm>

namespace coltsfootshed {

struct StoreTimeouts
{
  Millis call_;  ///< from the sending of a call to its failure
  Millis watch_; ///< how long a watch may wait for events, besides call_
};

/// Returns the time-outs with which a VM knows what the store says soon enough:
/// - After a call was lost, its failure (watch_ + call_), the retry delay, a
/// new
///   connection and the answer take less than aContactTime.
/// - Else the known content is at most watch_ and an answer's delay old, less
///   than aMaxAge.
inline StoreTimeouts StoreTimeoutsFor(Millis aContactTime, Millis aMaxAge)
{
  /// Long enough for an answer while the store is as slow as it usually gets.
  constexpr Millis kLongestCall{ 1200 };
  Millis call = std::min(kLongestCall, aContactTime * 2 / 5);
  return { call, std::min((aContactTime - call) / 2, aMaxAge / 2) };
}

} // namespace coltsfootshed

#endif
