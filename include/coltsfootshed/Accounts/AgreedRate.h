/// \file
/// Tells which jobs lie beyond the rate that an account has agreed on.
///
/// Answers an account that sends many times its usual: what is beyond its rate
/// is served from what others leave.
#ifndef COLTSFOOTSHED_ACCOUNTS_AGREEDRATE_H
#define COLTSFOOTSHED_ACCOUNTS_AGREEDRATE_H

#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace coltsfootshed {

class AgreedRate
{
public:
  explicit AgreedRate(const Clock& aClock);

  /// Counts a job of an account that may send aJobsPerSecond. Returns true if
  /// it is within the rate; a second's jobs may come at once.
  bool Take(std::string_view aAccount, std::int64_t aJobsPerSecond);

private:
  struct Bucket
  {
    double jobs_ = 0; ///< that may come now
    Millis filledAt_{ 0 };
  };

  const Clock& clock_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

} // namespace coltsfootshed

#endif
