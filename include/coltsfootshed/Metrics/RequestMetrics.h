/// \file
/// Request counters and latency histograms per tenant and request class.
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
  Millis wait_{ 0 };   ///< until its first attempt or hand-over
  Millis target_{ 0 }; ///< from its first attempt or hand-over to its end
  Millis total_{ 0 };
};

/// The histograms have logarithmic buckets from 1 ms to 10 minutes.
class RequestMetrics
{
public:
  RequestMetrics();
  ~RequestMetrics();

  /// Counts a finished request.
  void Count(std::string_view aTenant,
             RequestClass aClass,
             Outcome aOutcome,
             const RequestTimes& aTimes);
  /// Returns all series in the Prometheus text format.
  std::string ToPrometheus() const;
  /// Returns the outcomes and buckets of each tenant and class as a JSON array.
  std::string ToJson() const;
  /// Returns the number of pairs of tenant and class with a finished request.
  std::size_t SeriesCount() const { return series_.size(); }

private:
  struct Series;
  using Key = std::pair<std::string, RequestClass>;

  std::map<Key, std::unique_ptr<Series>> series_;
};

} // namespace coltsfootshed

#endif
