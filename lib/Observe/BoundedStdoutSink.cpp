#include "coltsfootshed/Observe/BoundedStdoutSink.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace coltsfootshed {

/// Bytes kept for a slow reader; about two seconds of the busiest minute.
static constexpr std::size_t kMostBacklog = std::size_t{ 256 } << 10;
/// Lines gather up to this size before one write call carries them.
static constexpr std::size_t kWriteAt = 3000;
/// A pipe that polls as writable takes this much without blocking (PIPE_BUF).
static constexpr std::size_t kOneWrite = 4096;

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
  if (backlog_.size() > kMostBacklog) {
    ++sDropped;
    return;
  }
  spdlog::memory_buf_t formatted;
  formatter_->format(aMessage, formatted);
  backlog_.append(formatted.data(), formatted.size());
  if (backlog_.size() >= kWriteAt) {
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
    std::size_t most = std::min(kOneWrite, backlog_.size() - written);
    ssize_t done = write(STDOUT_FILENO, backlog_.data() + written, most);
    if (done <= 0) {
      break;
    }
    written += static_cast<std::size_t>(done);
  }
  backlog_.erase(0, written);
}

} // namespace coltsfootshed
