/// \file
/// Callbacks that do nothing once their owner is gone.
#ifndef COLTSFOOTSHED_SUPPORT_ALIVEGUARD_H
#define COLTSFOOTSHED_SUPPORT_ALIVEGUARD_H

#include <memory>
#include <utility>

namespace coltsfootshed {

/// A member of an object whose calls may be answered after its end. It should
/// be the last member, so that it goes first.
class AliveGuard
{
public:
  /// Wraps a callback so that it does nothing after this guard's end.
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

private:
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace coltsfootshed

#endif
