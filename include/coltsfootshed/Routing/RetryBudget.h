/// \file
/// Limits retries to a fraction of successes, so that a failing fleet is not
/// flooded by retries.
#ifndef COLTSFOOTSHED_ROUTING_RETRYBUDGET_H
#define COLTSFOOTSHED_ROUTING_RETRYBUDGET_H

#include <algorithm>

namespace coltsfootshed {

/// A token bucket of one service.
class RetryBudget
{
public:
  /// Each success earns aRatio of a retry; kMost retries can be saved up.
  explicit RetryBudget(double aRatio)
    : ratio_(aRatio)
  {
  }

  void SetRatio(double aRatio) { ratio_ = aRatio; }
  void OnSuccess() { tokens_ = std::min(kMost, tokens_ + ratio_); }
  /// Takes one retry if one is left.
  bool TryTake()
  {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  static constexpr double kMost = 10.0;

  double ratio_;
  double tokens_ = kMost;
};

} // namespace coltsfootshed

#endif
