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

/// Returns the time-outs with which a VM's knowledge of the store is young
/// enough. If a watch is lost, its wait and time-out, the retry delay, a new
/// connection and an answer take less than aContactTime. Otherwise the
/// knowledge is at most a wait and an answer's delay old, which is less than
/// aMaxAge.
inline StoreTimeouts StoreTimeoutsFor(Millis aContactTime, Millis aMaxAge)
{
  /// Long enough for an answer while the store is as slow as it usually gets.
  constexpr Millis kLongestCall{ 1200 };
  Millis call = std::min(kLongestCall, aContactTime * 2 / 5);
  return { call, std::min((aContactTime - call) / 2, aMaxAge / 2) };
}

} // namespace coltsfootshed

#endif
