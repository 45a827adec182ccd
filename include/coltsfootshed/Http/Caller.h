/// \file
/// Makes HTTP calls with a time limit over pooled connections.
#ifndef COLTSFOOTSHED_HTTP_CALLER_H
#define COLTSFOOTSHED_HTTP_CALLER_H

#include "coltsfootshed/Http/ClientConnection.h"
#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/Timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace coltsfootshed {

/// Names a call of one HttpCaller.
using CallId = std::uint64_t;

/// Which connection a call may use.
enum class Reuse
{
  Any,    ///< any idle connection that seems open
  Recent, ///< one whose peer answered a moment ago
  Never   ///< a new one
};

/// A connection whose call ran out of time or broke is closed, never pooled.
class HttpCaller
{
public:
  using OnEnd = ClientConnection::OnEnd;

  /// aIdlePerPeer connections are kept open for each peer.
  HttpCaller(event_base* aBase, const Clock& aClock, std::size_t aIdlePerPeer);

  /// Starts a call; aOnEnd runs once, later. When aLimit has passed, the call
  /// ends as NotSent or Broken, whichever is true.
  CallId Call(const Endpoint& aPeer,
              const HttpRequest& aRequest,
              Millis aLimit,
              Reuse aReuse,
              OnEnd aOnEnd);
  /// Ends a call without running its callback.
  void Abandon(CallId aCall);
  /// True if a byte of the call may have left this process.
  bool MayHaveSent(CallId aCall) const;
  /// Closes the idle connections to a peer.
  void CloseIdle(const Endpoint& aPeer);
  std::size_t Running() const { return calls_.size(); }

private:
  struct RunningCall
  {
    Endpoint peer_;
    std::unique_ptr<ClientConnection> connection_;
    std::unique_ptr<Timer> timer_;
    Millis endsAt_{ 0 };
    OnEnd onEnd_;
  };
  struct IdleConnection
  {
    std::unique_ptr<ClientConnection> connection_;
    Millis since_{ 0 };
  };

  std::unique_ptr<ClientConnection> TakeConnection(const Endpoint& aPeer,
                                                   Reuse aReuse,
                                                   bool& aIsNew);
  void OnTimer(CallId aCall);
  void OnCallEnd(CallId aCall, CallResult aResult);
  void Keep(const Endpoint& aPeer,
            std::unique_ptr<ClientConnection> aConnection);
  void Discard(std::unique_ptr<ClientConnection> aConnection,
               std::unique_ptr<Timer> aTimer);

  event_base* base_;
  const Clock& clock_;
  std::size_t idlePerPeer_;
  CallId lastCall_ = 0;
  std::unordered_map<CallId, RunningCall> calls_;
  std::map<Endpoint, std::vector<IdleConnection>> idle_;
  // Connections and timers cannot be deleted from within their callbacks.
  std::vector<std::unique_ptr<ClientConnection>> deadConnections_;
  std::vector<std::unique_ptr<Timer>> deadTimers_;
  Timer sweep_;
};

} // namespace coltsfootshed

#endif
