/// \file
/// A RapidCheck command that applies one event to a simulated world, which
/// checks its own invariants.
#ifndef COLTSFOOTSHED_UNITTESTS_SUPPORT_FUZZEVENT_H
#define COLTSFOOTSHED_UNITTESTS_SUPPORT_FUZZEVENT_H

#include <cstdint>
#include <ostream>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <span>

namespace coltsfootshed {

/// An empty model: the world itself checks its invariants, and every command is
/// always allowed.
struct NoModel
{};

/// An event: a method of the world, which uses its argument to choose among the
/// possible forms of the event.
template<typename World>
struct EventKind
{
  const char* name_;
  void (World::*act_)(unsigned);

  /// Subscripting a table of events within the call expression itself makes the
  /// bounds check of GCC 12 read an uninitialised index on arm64.
  void Apply(World& aWorld, unsigned aArgument) const
  {
    (aWorld.*act_)(aArgument);
  }
};

/// Generates one of the world's events: FuzzEventsOf(World*) returns all of
/// them, and DrawEvent(World*) generates an index.
template<typename World>
struct FuzzEvent : rc::state::Command<NoModel, World>
{
  static inline std::uint64_t steps = 0; ///< events run so far

  std::size_t kind_ = DrawEvent(static_cast<World*>(nullptr));
  unsigned argument_ = *rc::gen::inRange(0U, 1000U);

  void run(const NoModel&, World& aWorld) const override
  {
    ++steps;
    Kind().Apply(aWorld, argument_);
    RC_ASSERT(aWorld.Violation() == "");
  }

  void show(std::ostream& aOut) const override
  {
    aOut << Kind().name_ << "(" << argument_ << ")";
  }

private:
  const EventKind<World>& Kind() const
  {
    return FuzzEventsOf(static_cast<World*>(nullptr))[kind_];
  }
};

} // namespace coltsfootshed

#endif
