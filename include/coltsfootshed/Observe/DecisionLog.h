/// \file
/// Structured log lines for decisions and changes of belief, and the counters
/// and histograms of the metrics page.
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

/// Starts the log on standard output: one JSON object a line, from a bounded
/// queue that drops the oldest lines when the reader is slow.
void StartDecisionLog(const std::string& aNode);
/// Writes out what is queued; called once before the process ends.
void StopDecisionLog();

/// A decision that touches a request or job.
void LogDecision(std::string_view aEvent, LogFields aFields);
/// A change of what this process believes of others.
void LogBelief(std::string_view aEvent, LogFields aFields);

/// Adds to a named counter.
void Count(std::string_view aCounter, std::uint64_t aBy = 1);
/// Adds a latency to a named histogram.
void Observe(std::string_view aHistogram, Millis aLatency);
/// All counters and histograms as text, one sample a line.
std::string MetricsText();

} // namespace coltsfootshed

#endif
