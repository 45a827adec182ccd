/// \file
/// A one-shot timer on a libevent loop.
#ifndef COLTSFOOTSHED_SUPPORT_TIMER_H
#define COLTSFOOTSHED_SUPPORT_TIMER_H

#include "coltsfootshed/Support/Clock.h"

#include <functional>

struct event;
struct event_base;

namespace coltsfootshed {

/// Runs a function once after a delay; can be started again at any time, also
/// from within the function. Must not be destroyed from within it.
class Timer
{
public:
  Timer(event_base* aBase, std::function<void()> aOnFire);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Restarts the delay if the timer is running. A negative delay counts as 0.
  void Start(Millis aDelay);
  void Stop();

private:
  static void OnEvent(int aSocket, short aWhat, void* aSelf);

  event* event_;
  std::function<void()> onFire_;
};

} // namespace coltsfootshed

#endif
