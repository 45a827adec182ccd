#include "coltsfootshed/Observe/BoundedStdoutSink.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace coltsfootshed {

/// Largest backlog for a slow reader: about two seconds of output at the rate
/// of the busiest minute.
static constexpr std::size_t kMaxBacklogBytes = std::size_t{ 256 } << 10;
/// Backlog size at which lines are written, so that one call carries several.
static constexpr std::size_t kWriteThresholdBytes = 3000;
/// A pipe that polls as writable accepts this much (PIPE_BUF) without blocking.
static constexpr std::size_t kMaxWriteBytes = 4096;

static std::uint64_t sDropped = 0;

std::uint64_t BoundedStdoutSink::Dropped()
{
  return sDropped;
}

static bool CanWrite()
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

void BoundedStdoutSink::sink_it_(const spdlog::details::log_msg& aMessage)
{
  if (backlog_.size() > kMaxBacklogBytes) {
    ++sDropped;
    return;
  }
  spdlog::memory_buf_t formatted;
  formatter_->format(aMessage, formatted);
  backlog_.append(formatted.data(), formatted.size());
  if (backlog_.size() >= kWriteThresholdBytes) {
    WriteBacklog();
  }
}

void BoundedStdoutSink::flush_()
{
  WriteBacklog();
}

void BoundedStdoutSink::WriteBacklog()
{
  std::size_t written = 0;
  while (written < backlog_.size() && CanWrite()) {
    std::size_t chunk = std::min(kMaxWriteBytes, backlog_.size() - written);
    ssize_t result = write(STDOUT_FILENO, backlog_.data() + written, chunk);
    if (result <= 0) {
      break;
    }
    written += static_cast<std::size_t>(result);
  }
  backlog_.erase(0, written);
}

} // namespace coltsfootshed
