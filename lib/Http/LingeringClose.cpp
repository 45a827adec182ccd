#include "coltsfootshed/Http/LingeringClose.h"

#include <array>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootshed {

static constexpr timeval kLingerTime{ 1, 0 };
/// Input discarded at most, in reads of one buffer each.
static constexpr int kMostReads = 4096;

namespace {

/// Owns the duplicate socket until the peer closes.
struct Lingerer
{
  int socket_;
  event* readable_ = nullptr;
  int reads_ = 0;
};

} // namespace

static void Finish(Lingerer* aLingerer)
{
  event_free(aLingerer->readable_);
  close(aLingerer->socket_);
  delete aLingerer;
}

static void OnReadable(evutil_socket_t aSocket, short aWhat, void* aArgument)
{
  auto* lingerer = static_cast<Lingerer*>(aArgument);
  std::array<char, 16384> discarded;
  bool timedOut = (aWhat & EV_TIMEOUT) != 0;
  bool tooMuch = ++lingerer->reads_ > kMostReads;
  if (timedOut || tooMuch ||
      recv(aSocket, discarded.data(), discarded.size(), MSG_DONTWAIT) <= 0) {
    Finish(lingerer);
  }
}

void SendAndLinger(event_base* aBase, int aSocket, std::string_view aBytes)
{
  int copy = dup(aSocket);
  if (copy < 0) {
    return;
  }
  send(copy, aBytes.data(), aBytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(copy, SHUT_WR);
  auto* lingerer = new Lingerer{ copy };
  lingerer->readable_ =
    event_new(aBase, copy, EV_READ | EV_PERSIST, &OnReadable, lingerer);
  event_add(lingerer->readable_, &kLingerTime);
}

} // namespace coltsfootshed
