/// \file
/// A log sink on standard output that never blocks: it writes only what the
/// pipe takes at once, keeps a bounded backlog, and drops lines beyond it.
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
  /// Lines dropped since the process started.
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
