/// \file
/// Delivers a mailbox's messages on a libevent loop.
#ifndef COLTSFOOTSHED_SUPPORT_MAILBOXEVENT_H
#define COLTSFOOTSHED_SUPPORT_MAILBOXEVENT_H

#include "coltsfootshed/Support/Mailbox.h"

#include <event2/event.h>
#include <functional>
#include <utility>

namespace coltsfootshed {

/// Runs a function for each message, in order.
template<typename Message>
class MailboxEvent
{
public:
  MailboxEvent(event_base* aBase,
               Mailbox<Message>& aMailbox,
               std::function<void(Message)> aOnMessage)
    : mailbox_(aMailbox)
    , onMessage_(std::move(aOnMessage))
    , event_(
        event_new(aBase, aMailbox.Fd(), EV_READ | EV_PERSIST, &OnEvent, this))
  {
    event_add(event_, nullptr);
  }
  ~MailboxEvent() { event_free(event_); }
  MailboxEvent(const MailboxEvent&) = delete;
  MailboxEvent& operator=(const MailboxEvent&) = delete;

private:
  static void OnEvent(evutil_socket_t, short, void* aSelf)
  {
    auto* self = static_cast<MailboxEvent*>(aSelf);
    for (Message& message : self->mailbox_.TakeAll()) {
      self->onMessage_(std::move(message));
    }
  }

  Mailbox<Message>& mailbox_;
  std::function<void(Message)> onMessage_;
  event* event_;
};

} // namespace coltsfootshed

#endif
