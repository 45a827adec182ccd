#include "coltsfootshed/Metrics/RequestMetrics.h"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace coltsfootshed {

namespace bh = boost::histogram;

static constexpr unsigned kBuckets = 20;
static constexpr double kMinMs = 1.0;
static constexpr double kMaxMs = 600000.0;
static constexpr std::size_t kTimeCount = 3;
static constexpr std::array<const char*, kTimeCount> kTimeNames = { "wait",
                                                                    "target",
                                                                    "whole" };
static constexpr std::size_t kOutcomeCount = 3;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram_with(std::vector<std::uint32_t>(),
                                                   std::declval<Axis>()));

static Histogram NewHistogram()
{
  return bh::make_histogram_with(std::vector<std::uint32_t>(),
                                 Axis(kBuckets, kMinMs, kMaxMs));
}

struct RequestMetrics::Series
{
  std::array<Histogram, kTimeCount> times_ = { NewHistogram(),
                                               NewHistogram(),
                                               NewHistogram() };
  std::array<double, kTimeCount> sums_{};
  std::array<std::uint64_t, kOutcomeCount> outcomes_{};
};

RequestMetrics::RequestMetrics() = default;
RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::Count(std::string_view aTenant,
                           RequestClass aClass,
                           Outcome aOutcome,
                           const RequestTimes& aTimes)
{
  std::unique_ptr<Series>& series = series_[{ std::string(aTenant), aClass }];
  if (series == nullptr) {
    series = std::make_unique<Series>();
  }
  ++series->outcomes_.at(static_cast<std::size_t>(aOutcome));
  std::array<Millis, kTimeCount> times = { aTimes.wait_,
                                           aTimes.target_,
                                           aTimes.total_ };
  for (std::size_t i = 0; i < kTimeCount; ++i) {
    auto value = static_cast<double>(times[i].count());
    series->times_[i](value);
    series->sums_[i] += value;
  }
}

static std::string Labels(std::string_view aTenant, RequestClass aClass)
{
  return "tenant=\"" + std::string(aTenant) + "\",class=\"" +
         std::string(ClassName(aClass)) + "\"";
}

static void WriteHistogram(std::ostream& aOut,
                           const std::string& aName,
                           const std::string& aLabels,
                           const Histogram& aHistogram,
                           double aSum)
{
  // The first and the last index are those below kMinMs and above kMaxMs.
  std::uint64_t count = aHistogram.at(-1);
  for (int i = 0; i < int(kBuckets); ++i) {
    count += aHistogram.at(i);
    aOut << aName << "_bucket{" << aLabels << ",le=\""
         << aHistogram.axis().bin(i).upper() << "\"} " << count << "\n";
  }
  count += aHistogram.at(int(kBuckets));
  aOut << aName << "_bucket{" << aLabels << ",le=\"+Inf\"} " << count << "\n"
       << aName << "_sum{" << aLabels << "} " << aSum << "\n"
       << aName << "_count{" << aLabels << "} " << count << "\n";
}

std::string RequestMetrics::ToPrometheus() const
{
  std::ostringstream out;
  out << "# TYPE coltsfootshed_requests_total counter\n";
  for (const auto& [key, series] : series_) {
    std::string labels = Labels(key.first, key.second);
    for (std::size_t i = 0; i < kOutcomeCount; ++i) {
      out << "coltsfootshed_requests_total{" << labels << ",outcome=\""
          << OutcomeName(static_cast<Outcome>(i)) << "\"} "
          << series->outcomes_[i] << "\n";
    }
  }
  for (std::size_t i = 0; i < kTimeCount; ++i) {
    std::string name =
      "coltsfootshed_" + std::string(kTimeNames[i]) + "_milliseconds";
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [key, series] : series_) {
      WriteHistogram(out,
                     name,
                     Labels(key.first, key.second),
                     series->times_[i],
                     series->sums_[i]);
    }
  }
  return out.str();
}

std::string RequestMetrics::ToJson() const
{
  nlohmann::json out = nlohmann::json::array();
  for (const auto& [key, series] : series_) {
    nlohmann::json item = { { "tenant", key.first },
                            { "class", ClassName(key.second) } };
    for (std::size_t i = 0; i < kOutcomeCount; ++i) {
      item["outcomes"][std::string(OutcomeName(static_cast<Outcome>(i)))] =
        series->outcomes_[i];
    }
    for (std::size_t i = 0; i < kTimeCount; ++i) {
      nlohmann::json buckets = nlohmann::json::array();
      for (auto&& bucket : bh::indexed(series->times_[i], bh::coverage::all)) {
        buckets.push_back({ bucket.bin().upper(), std::uint32_t(*bucket) });
      }
      item[kTimeNames[i]] = buckets;
    }
    out.push_back(item);
  }
  return out.dump();
}

} // namespace coltsfootshed
