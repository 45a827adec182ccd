/// \file
/// A non-blocking log sink on standard output. It writes only what the pipe
/// accepts at once, keeps a bounded backlog, and drops new lines while the
/// backlog is full. It is not thread-safe.
#ifndef COLTSFOOTSHED_OBSERVE_BOUNDEDSTDOUTSINK_H
#define COLTSFOOTSHED_OBSERVE_BOUNDEDSTDOUTSINK_H

#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace coltsfootshed {

class BoundedStdoutSink final
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  /// Number of lines dropped since the process started.
  static std::uint64_t Dropped();

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override;

private:
  void WriteBacklog();

  std::string backlog_;
};

} // namespace coltsfootshed

#endif
