/// \file
/// Structured log lines for decisions and for changes in the known state of the
/// system, and the counters and histograms of the metrics page. These functions
/// are not thread-safe.
#ifndef COLTSFOOTSHED_OBSERVE_DECISIONLOG_H
#define COLTSFOOTSHED_OBSERVE_DECISIONLOG_H

#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfootshed {

using LogFields =
  std::initializer_list<std::pair<std::string_view, std::string>>;

/// Starts the log on standard output, with one JSON object per line. When the
/// reader is slow, lines wait in a bounded backlog, and new lines are dropped
/// while it is full.
void StartDecisionLog(const std::string& aNode);
/// Writes as much of the backlog as standard output accepts without blocking.
/// Call once before the process ends.
void StopDecisionLog();

/// Logs a decision about a request, job, VM or wave.
void LogDecision(std::string_view aEvent, LogFields aFields);
/// Logs a change in what this process takes to be the state of the system, such
/// as a lease, a target or a configuration.
void LogStateChange(std::string_view aEvent, LogFields aFields);

/// Adds to a named counter.
void Count(std::string_view aCounter, std::uint64_t aBy = 1);
/// Adds a latency sample to a named histogram.
void Observe(std::string_view aHistogram, Millis aLatency);
/// Returns all counters and histograms as text, one sample per line, in the
/// Prometheus text format.
std::string MetricsText();

} // namespace coltsfootshed

#endif
