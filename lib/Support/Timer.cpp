#include "coltsfootshed/Support/Timer.h"

#include <event2/event.h>
#include <utility>

namespace coltsfootshed {

Timer::Timer(event_base* aBase, std::function<void()> aOnFire)
  : event_(evtimer_new(aBase, &OnEvent, this))
  , onFire_(std::move(aOnFire))
{
}

Timer::~Timer()
{
  event_free(event_);
}

void Timer::Start(Millis aDelay)
{
  Millis delay = std::max(aDelay, Millis(0));
  timeval time{ delay.count() / 1000, (delay.count() % 1000) * 1000 };
  event_add(event_, &time);
}

void Timer::Stop()
{
  event_del(event_);
}

void Timer::OnEvent(int, short, void* aSelf)
{
  static_cast<Timer*>(aSelf)->onFire_();
}

} // namespace coltsfootshed
