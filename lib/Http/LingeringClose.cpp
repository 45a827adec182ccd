#include "coltsfootshed/Http/LingeringClose.h"

#include <array>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootshed {

/// Longest wait for more input.
static constexpr timeval kLingerTimeout{ 1, 0 };
/// Bounds the discarded input; each read takes at most one buffer.
static constexpr int kMaxReads = 4096;

namespace {

/// Owns the duplicate socket until Finish().
struct LingeringSocket
{
  int socket_;
  event* readable_ = nullptr;
  int reads_ = 0;
};

} // namespace

static void Finish(LingeringSocket* aLingering)
{
  event_free(aLingering->readable_);
  close(aLingering->socket_);
  delete aLingering;
}

static void OnReadable(evutil_socket_t aSocket, short aWhat, void* aArgument)
{
  auto* lingering = static_cast<LingeringSocket*>(aArgument);
  std::array<char, 16384> discarded;
  bool timedOut = (aWhat & EV_TIMEOUT) != 0;
  bool tooMuch = ++lingering->reads_ > kMaxReads;
  if (timedOut || tooMuch ||
      recv(aSocket, discarded.data(), discarded.size(), MSG_DONTWAIT) <= 0) {
    Finish(lingering);
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
  auto* lingering = new LingeringSocket{ copy };
  lingering->readable_ =
    event_new(aBase, copy, EV_READ | EV_PERSIST, &OnReadable, lingering);
  event_add(lingering->readable_, &kLingerTimeout);
}

} // namespace coltsfootshed
