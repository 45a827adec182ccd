/// \file
/// A queue of typed messages from any thread to one owner, with a file
/// descriptor that is readable while messages wait.
#ifndef COLTSFOOTSHED_SUPPORT_MAILBOX_H
#define COLTSFOOTSHED_SUPPORT_MAILBOX_H

#include <cstdint>
#include <deque>
#include <mutex>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace coltsfootshed {

/// Messages are delivered in the order in which they were posted.
template<typename Message>
class Mailbox
{
public:
  Mailbox()
    : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
  {
  }
  ~Mailbox() { close(fd_); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// Adds a message and wakes the owner. Safe from any thread.
  void Post(Message aMessage)
  {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      messages_.push_back(std::move(aMessage));
    }
    std::uint64_t one = 1;
    [[maybe_unused]] auto written = write(fd_, &one, sizeof(one));
  }

  /// Removes and returns all waiting messages. Only the owner may call it.
  std::deque<Message> TakeAll()
  {
    std::uint64_t count = 0;
    [[maybe_unused]] auto taken = read(fd_, &count, sizeof(count));
    std::deque<Message> out;
    std::lock_guard<std::mutex> lock(mutex_);
    out.swap(messages_);
    return out;
  }

  /// Readable while messages wait.
  int Fd() const { return fd_; }

private:
  int fd_;
  std::mutex mutex_;
  std::deque<Message> messages_;
};

} // namespace coltsfootshed

#endif
