/// \file
/// Estimates the rate at which work arrives, and what it will be when a VM that
/// is ordered now can serve.
///
/// Designed for queues whose demand rises within seconds to several times its
/// mean, while additional capacity takes as long as a VM's move.
#ifndef COLTSFOOTSHED_SCHEDULING_ARRIVALRATE_H
#define COLTSFOOTSHED_SCHEDULING_ARRIVALRATE_H

#include "coltsfootshed/Support/Clock.h"

#include <deque>

namespace coltsfootshed {

class ArrivalRate
{
public:
  /// Records work that arrived at aArrivedAt, in thousandths of a core times
  /// milliseconds. Drops work that is too old to affect the estimate.
  void Add(Millis aArrivedAt, double aWork);

  /// Returns how many thousandths of a core arriving work will keep busy when a
  /// VM that is ordered now can serve.
  double ExpectedRate(Millis aNow) const;

private:
  struct Sum
  {
    double work_ = 0;
    /// Sum of the squared parts: the variance of work_ if arrivals are Poisson
    /// distributed.
    double squares_ = 0;
  };

  /// Returns the work that arrived from aFrom until before aTo.
  Sum Between(Millis aFrom, Millis aTo) const;
  double CurrentRate(Millis aNow) const;

  std::deque<std::pair<Millis, double>> arrivals_; ///< time and work
};

} // namespace coltsfootshed

#endif
