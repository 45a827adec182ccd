/// \file
/// Limits retries to a fraction of successes, so that retries do not overload
/// failing targets.
#ifndef COLTSFOOTSHED_ROUTING_RETRYBUDGET_H
#define COLTSFOOTSHED_ROUTING_RETRYBUDGET_H

#include <algorithm>

namespace coltsfootshed {

/// A token bucket of one service.
class RetryBudget
{
public:
  /// Each success adds aRatio of a retry, up to kMaxTokens retries.
  explicit RetryBudget(double aRatio)
    : ratio_(aRatio)
  {
  }

  void SetRatio(double aRatio) { ratio_ = aRatio; }
  void OnSuccess() { tokens_ = std::min(kMaxTokens, tokens_ + ratio_); }
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
  static constexpr double kMaxTokens = 10.0;

  double ratio_;
  double tokens_ = kMaxTokens;
};

} // namespace coltsfootshed

#endif
