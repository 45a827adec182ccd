/// \file
/// A RapidCheck command that makes one event happen in a world with an oracle.
#ifndef COLTSFOOTSHED_UNITTESTS_SUPPORT_FUZZEVENT_H
#define COLTSFOOTSHED_UNITTESTS_SUPPORT_FUZZEVENT_H

#include <cstdint>
#include <ostream>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <span>

namespace coltsfootshed {

/// The oracle is in the world itself; commands are always allowed.
struct NoModel
{};

/// An event by its method, which takes a number to choose with.
template<typename World>
struct EventKind
{
  const char* name_;
  void (World::*act_)(unsigned);
};

/// Draws one of World's events: FuzzEventsOf(World*) names them, and
/// DrawEvent(World*) draws an index.
template<typename World>
struct FuzzEvent : rc::state::Command<NoModel, World>
{
  static inline std::uint64_t steps = 0; ///< events run so far

  std::size_t kind_ = DrawEvent(static_cast<World*>(nullptr));
  unsigned pick_ = *rc::gen::inRange(0U, 1000U);

  void run(const NoModel&, World& aWorld) const override
  {
    ++steps;
    (aWorld.*Kind().act_)(pick_);
    RC_ASSERT(aWorld.Violation() == "");
  }

  void show(std::ostream& aOut) const override
  {
    aOut << Kind().name_ << "(" << pick_ << ")";
  }

private:
  const EventKind<World>& Kind() const
  {
    return FuzzEventsOf(static_cast<World*>(nullptr))[kind_];
  }
};

} // namespace coltsfootshed

#endif
