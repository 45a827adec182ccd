/// \file
/// Counts and histograms of requests per tenant and class.
#ifndef COLTSFOOTSHED_METRICS_REQUESTMETRICS_H
#define COLTSFOOTSHED_METRICS_REQUESTMETRICS_H

#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Routing/RequestFlow.h"
#include "coltsfootshed/Support/Clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfootshed {

/// Times of one finished request.
struct RequestTimes
{
  Millis wait_{ 0 };   ///< until its first attempt
  Millis target_{ 0 }; ///< with targets
  Millis whole_{ 0 };
};

/// Milliseconds on a logarithmic scale, from 1 ms to 10 minutes.
class RequestMetrics
{
public:
  RequestMetrics();
  ~RequestMetrics();

  void Count(std::string_view aTenant,
             RequestClass aClass,
             Outcome aOutcome,
             const RequestTimes& aTimes);
  /// Prometheus text format.
  std::string ToPrometheus() const;
  /// Buckets per tenant and class, for display.
  std::string ToJson() const;
  std::size_t SeriesCount() const { return series_.size(); }

private:
  struct Series;
  using Key = std::pair<std::string, RequestClass>;

  std::map<Key, std::unique_ptr<Series>> series_;
};

} // namespace coltsfootshed

#endif
