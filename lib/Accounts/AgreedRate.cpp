#include "coltsfootshed/Accounts/AgreedRate.h"

#include <algorithm>

namespace coltsfootshed {

AgreedRate::AgreedRate(const Clock& aClock)
  : clock_(aClock)
{
}

bool AgreedRate::Take(std::string_view aAccount, std::int64_t aJobsPerSecond)
{
  auto rate = static_cast<double>(aJobsPerSecond);
  Millis now = clock_.Now();
  auto bucket =
    buckets_.try_emplace(std::string(aAccount), Bucket{ rate, now }).first;
  Bucket& state = bucket->second;
  double seconds = static_cast<double>((now - state.filledAt_).count()) / 1000;
  state.jobs_ = std::min(rate, state.jobs_ + rate * seconds);
  state.filledAt_ = now;
  if (state.jobs_ < 1) {
    return false;
  }
  state.jobs_ -= 1;
  return true;
}

} // namespace coltsfootshed
