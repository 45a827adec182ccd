/// \file
/// Wraps callbacks so that they do nothing once their owner is destroyed.
#ifndef COLTSFOOTSHED_SUPPORT_ALIVEGUARD_H
#define COLTSFOOTSHED_SUPPORT_ALIVEGUARD_H

#include <memory>
#include <utility>

namespace coltsfootshed {

/// A member of an object whose callbacks may run after its destruction. It
/// should be the last member, so that it is destroyed first.
class AliveGuard
{
public:
  /// Returns a callback that does nothing once this guard is destroyed.
  template<typename F>
  auto operator()(F aFunction) const
  {
    return [alive = std::weak_ptr<bool>(alive_),
            function = std::move(aFunction)](const auto&... aArguments) {
      if (!alive.expired()) {
        function(aArguments...);
      }
    };
  }

  /// Returns a function without arguments that returns false once this guard is
  /// destroyed, and what aFunction returns before.
  template<typename F>
  auto OrFalse(F aFunction) const
  {
    return
      [alive = std::weak_ptr<bool>(alive_), function = std::move(aFunction)] {
        return !alive.expired() && function();
      };
  }

private:
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace coltsfootshed

#endif
