/// \file
/// Makes HTTP calls with a time limit over pooled connections.
#ifndef COLTSFOOTSHED_HTTP_CLIENT_H
#define COLTSFOOTSHED_HTTP_CLIENT_H

#include "coltsfootshed/Http/ClientConnection.h"
#include "coltsfootshed/Support/Clock.h"
#include "coltsfootshed/Support/Timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace coltsfootshed {

/// Identifies a call of one HttpClient.
using CallId = std::uint64_t;

/// Identifies what answers at an address, such as one process, until another
/// takes its place; 0: not known. A connection leads to one of them only.
using PeerIdentity = std::int64_t;

/// Which pooled connections a call may reuse.
enum class Reuse
{
  Any,          ///< any idle connection that still appears open
  Recent,       ///< only one that carried an answer in the last second
  Unidentified, ///< only one whose other end is not known
  Never         ///< none; the call opens a new connection
};

/// Makes calls to any number of peers and pools their connections. The
/// connection of a call that timed out or broke is closed, never pooled. The
/// one that has just carried an answer is always pooled: where there are too
/// many, the one that was idle for longest is closed.
class HttpClient
{
public:
  using OnEnd = ClientConnection::OnEnd;

  /// At most aMaxIdlePerPeer idle connections are kept open for each peer.
  HttpClient(event_base* aBase,
             const Clock& aClock,
             std::size_t aMaxIdlePerPeer);

  /// Starts a call; aOnEnd runs once, later. When aTimeout has passed, the
  /// call ends as NotSent if no byte has left this process, else as Broken. A
  /// call that has sent nothing on a new connection after a second ends as
  /// NotSent.
  CallId Call(const Endpoint& aPeer,
              const HttpRequest& aRequest,
              Millis aTimeout,
              Reuse aReuse,
              OnEnd aOnEnd);
  /// As Call(), but only over an idle connection to aIdentity. Returns false,
  /// and never runs aOnEnd, if there is none.
  bool CallIdentified(const Endpoint& aPeer,
                      const HttpRequest& aRequest,
                      Millis aTimeout,
                      PeerIdentity aIdentity,
                      OnEnd aOnEnd);
  /// Notes what is at the other end of an idle connection, as the last answer
  /// on it said. Does nothing if that connection is no longer idle.
  void Identify(const Endpoint& aPeer,
                ConnectionId aConnection,
                PeerIdentity aIdentity);
  /// Ends a call without running its callback. Does nothing if it has ended.
  void Abandon(CallId aCall);
  /// True if a byte of the call may have left this process, or if the call
  /// has ended.
  bool MayHaveSent(CallId aCall) const;
  /// Closes the idle connections to a peer.
  void CloseIdle(const Endpoint& aPeer);
  /// Number of idle connections to all peers.
  std::size_t IdleConnections() const;
  /// Number of calls that have not ended.
  std::size_t RunningCalls() const { return calls_.size(); }

private:
  struct RunningCall
  {
    Endpoint peer_;
    std::unique_ptr<ClientConnection> connection_;
    PeerIdentity identity_ = 0;
    std::unique_ptr<Timer> timer_;
    Millis deadline_{ 0 };
    OnEnd onEnd_;
  };
  struct IdleConnection
  {
    std::unique_ptr<ClientConnection> connection_;
    Millis idleSince_{ 0 };
    PeerIdentity identity_ = 0;
  };

  /// Returns an idle connection, or one without a connection.
  IdleConnection TakeConnection(const Endpoint& aPeer, Reuse aReuse);
  /// Returns the idle connection that was used last, of those to aIdentity if
  /// it is given, or one without a connection. Closes those that it finds to be
  /// idle for longer than aMaxAge, or closed by the peer.
  IdleConnection TakeIdle(const Endpoint& aPeer,
                          std::optional<PeerIdentity> aIdentity,
                          Millis aMaxAge);
  CallId Start(const Endpoint& aPeer,
               const HttpRequest& aRequest,
               Millis aTimeout,
               IdleConnection aConnection,
               OnEnd aOnEnd);
  void OnTimer(CallId aCall);
  void OnCallEnd(CallId aCall, CallResult aResult);
  void AddToPool(const Endpoint& aPeer,
                 std::unique_ptr<ClientConnection> aConnection,
                 PeerIdentity aIdentity);
  /// Closes the connections to all peers that nobody has used for long.
  void CloseUnused();
  void DeleteLater(std::unique_ptr<ClientConnection> aConnection,
                   std::unique_ptr<Timer> aTimer);

  event_base* base_;
  const Clock& clock_;
  std::size_t maxIdlePerPeer_;
  CallId lastCallId_ = 0;
  std::unordered_map<CallId, RunningCall> calls_;
  /// By peer; the connections in the order of their last use.
  std::map<Endpoint, std::vector<IdleConnection>> idle_;
  Millis nextSweepAt_{ 0 };
  // Connections and timers cannot be deleted from within their callbacks, so
  // deletionTimer_ deletes these from the event loop.
  std::vector<std::unique_ptr<ClientConnection>> connectionsToDelete_;
  std::vector<std::unique_ptr<Timer>> timersToDelete_;
  Timer deletionTimer_;
};

} // namespace coltsfootshed

#endif
