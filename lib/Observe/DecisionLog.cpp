#include "coltsfootshed/Observe/DecisionLog.h"

#include "coltsfootshed/Observe/BoundedStdoutSink.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <sstream>
#include <vector>

namespace coltsfootshed {

namespace bh = boost::histogram;

/// Longest text of one field of a log line.
static constexpr std::size_t kMaxFieldBytes = 1000;
static constexpr unsigned kBuckets = 20;
static constexpr double kMinMs = 1.0;
static constexpr double kMaxMs = 600000.0;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram_with(std::vector<std::uint32_t>(),
                                                   std::declval<Axis>()));

namespace {

struct LatencyHistogram
{
  Histogram histogram_ =
    bh::make_histogram_with(std::vector<std::uint32_t>(),
                            Axis(kBuckets, kMinMs, kMaxMs));
  double sum_ = 0;
};

struct Metrics
{
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, LatencyHistogram, std::less<>> latencies_;
};

} // namespace

static Metrics& GlobalMetrics()
{
  static Metrics metrics;
  return metrics;
}

/// Appends a text as a JSON string. The text may be that of another program:
/// it is cut off, and bytes that are no UTF-8 are replaced.
static void AppendQuoted(std::string& aOut, std::string_view aText)
{
  std::string_view text = aText.substr(0, kMaxFieldBytes);
  bool isAscii = std::all_of(
    text.begin(), text.end(), [](char aByte) { return aByte >= 0; });
  if (!isAscii) {
    aOut += nlohmann::json(text).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
    return;
  }
  aOut += '"';
  for (char c : text) {
    if (c == '"' || c == '\\') {
      aOut += '\\';
      aOut += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      aOut += ' ';
    } else {
      aOut += c;
    }
  }
  aOut += '"';
}

static void Write(spdlog::level::level_enum aLevel,
                  std::string_view aKind,
                  std::string_view aEvent,
                  const LogFields& aFields)
{
  std::string line = "\"";
  line.append(aKind).append("\":");
  AppendQuoted(line, aEvent);
  for (const auto& [name, value] : aFields) {
    line += ',';
    AppendQuoted(line, name);
    line += ':';
    AppendQuoted(line, value);
  }
  spdlog::default_logger_raw()->log(aLevel, line);
}

void StartDecisionLog(const std::string& aNode)
{
  auto logger = std::make_shared<spdlog::logger>(
    "coltsfootshed", std::make_shared<BoundedStdoutSink>());
  logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",\"node\":\"" + aNode +
                      "\",%v}");
  spdlog::set_default_logger(logger);
}

void StopDecisionLog()
{
  spdlog::default_logger_raw()->flush();
}

void LogDecision(std::string_view aEvent, LogFields aFields)
{
  Write(spdlog::level::info, "decision", aEvent, aFields);
}

void LogStateChange(std::string_view aEvent, LogFields aFields)
{
  Write(spdlog::level::info, "belief", aEvent, aFields);
}

void Count(std::string_view aCounter, std::uint64_t aBy)
{
  auto& counters = GlobalMetrics().counters_;
  auto found = counters.find(aCounter);
  if (found == counters.end()) {
    found = counters.emplace(std::string(aCounter), 0).first;
  }
  found->second += aBy;
}

void Observe(std::string_view aHistogram, Millis aLatency)
{
  auto& latencies = GlobalMetrics().latencies_;
  auto found = latencies.find(aHistogram);
  if (found == latencies.end()) {
    found =
      latencies.emplace(std::string(aHistogram), LatencyHistogram{}).first;
  }
  auto value = static_cast<double>(aLatency.count());
  found->second.histogram_(value);
  found->second.sum_ += value;
}

static void WriteLatencyHistogram(std::ostream& aOut,
                                  const std::string& aName,
                                  const LatencyHistogram& aLatencies)
{
  std::uint64_t cumulative = 0;
  for (auto&& bin : bh::indexed(aLatencies.histogram_, bh::coverage::all)) {
    cumulative += static_cast<std::uint64_t>(*bin);
    aOut << aName << "_bucket{le=\"" << bin.bin().upper() << "\"} "
         << cumulative << '\n';
  }
  aOut << aName << "_sum " << aLatencies.sum_ << '\n'
       << aName << "_count " << cumulative << '\n';
}

std::string MetricsText()
{
  std::ostringstream out;
  const Metrics& metrics = GlobalMetrics();
  for (const auto& [name, value] : metrics.counters_) {
    out << "coltsfootshed_" << name << ' ' << value << '\n';
  }
  out << "coltsfootshed_log_lines_dropped " << BoundedStdoutSink::Dropped()
      << '\n';
  for (const auto& [name, latencies] : metrics.latencies_) {
    WriteLatencyHistogram(out, "coltsfootshed_" + name, latencies);
  }
  return out.str();
}

} // namespace coltsfootshed
