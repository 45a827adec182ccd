/// \file
/// Weighted fair order of accounts that wait for the same resource.
///
/// Answers a load in which one account asks for many times its share: what it
/// gets is in proportion to its weight while others wait, and all of the rest
/// while they do not.
#ifndef COLTSFOOTSHED_ADMISSION_STRIDEORDER_H
#define COLTSFOOTSHED_ADMISSION_STRIDEORDER_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// Start-time fair queueing: each account has a pass, which rises by the work
/// that it gets over its weight. The account of the lowest pass is next.
class StrideOrder
{
public:
  /// Returns the pass of an account that waits. One that has not waited for
  /// some time starts level with the one served last, so that it has neither
  /// saved up turns nor owes any.
  double PassOf(std::string_view aAccount) const;
  /// Notes that an account that waited got some work. Weights below 1 count as
  /// 1.
  void Charge(std::string_view aAccount, double aWork, std::int64_t aWeight);

private:
  std::map<std::string, double, std::less<>> passes_; ///< above virtualTime_
  double virtualTime_ = 0; ///< pass with which the last account was served
};

} // namespace coltsfootshed

#endif
