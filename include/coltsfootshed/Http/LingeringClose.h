/// \file
/// Closes a refused connection without losing the refusal in transit.
#ifndef COLTSFOOTSHED_HTTP_LINGERINGCLOSE_H
#define COLTSFOOTSHED_HTTP_LINGERINGCLOSE_H

#include <string_view>

struct event_base;

namespace coltsfootshed {

/// Sends aBytes on a duplicate of aSocket, then discards what the peer still
/// sends until it closes, is silent for a second or has sent too much. Closing
/// with unread input would reset the connection and lose the answer. Returns at
/// once; the caller still owns aSocket and may close it.
void SendAndLinger(event_base* aBase, int aSocket, std::string_view aBytes);

} // namespace coltsfootshed

#endif
