/// \file
/// How much work arrives, and will in a moment.
///
/// Load that it answers: a queue whose demand rises within seconds to several
/// times its mean, where more room takes a VM's move to come.
#ifndef COLTSFOOTSHED_SCHEDULING_ARRIVALRATE_H
#define COLTSFOOTSHED_SCHEDULING_ARRIVALRATE_H

#include "coltsfootshed/Support/Clock.h"

#include <deque>

namespace coltsfootshed {

class ArrivalRate
{
public:
  /// Work that comes, in thousandths of a core times milliseconds. Older work
  /// than the longest span is forgotten.
  void Add(Millis aNow, double aWork);

  /// Thousandths of a core that arriving work will keep busy when a VM that is
  /// ordered now can serve.
  double Expected(Millis aNow) const;

private:
  struct Sum
  {
    double work_ = 0;
    double squares_ = 0; ///< of the parts; a Poisson stream's variance
  };

  Sum Between(Millis aFrom, Millis aTo) const;
  double Level(Millis aNow) const;

  std::deque<std::pair<Millis, double>> arrivals_;
};

} // namespace coltsfootshed

#endif
