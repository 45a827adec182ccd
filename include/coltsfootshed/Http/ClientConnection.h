/// \file
/// A client's connection to an HTTP server. It reports whether any byte of a
/// request may have been sent.
#ifndef COLTSFOOTSHED_HTTP_CLIENTCONNECTION_H
#define COLTSFOOTSHED_HTTP_CLIENTCONNECTION_H

#include "coltsfootshed/Http/Message.h"
#include "coltsfootshed/Settings/Settings.h"
#include "coltsfootshed/Support/Clock.h"

#include <cstdint>
#include <functional>

struct event_base;
struct evbuffer;
struct evbuffer_cb_info;
struct bufferevent;
struct evhttp_connection;
struct evhttp_request;

namespace coltsfootshed {

/// How a call ended.
enum class CallEnd
{
  NotSent, ///< no byte left this process
  Broken,  ///< a byte may have left, and no complete answer came
  Answered ///< a complete answer came
};

/// Identifies a connection within this process.
using ConnectionId = std::uint64_t;

/// Outcome of one call.
struct CallResult
{
  CallEnd end_ = CallEnd::Broken;
  HttpAnswer answer_;           ///< valid if Answered
  ConnectionId connection_ = 0; ///< that carried the answer; 0: not known
};

/// Carries one call at a time. An answer counts as complete only if all of its
/// announced length or its last chunk has arrived. Must not be deleted from
/// within its own callback.
class ClientConnection
{
public:
  using OnEnd = std::function<void(CallResult)>;

  ClientConnection(event_base* aBase, const Endpoint& aPeer);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Starts a call. aOnEnd runs once, later, unless Abandon() comes first.
  /// Returns false, and never runs aOnEnd, if the call could not be started.
  bool Send(const HttpRequest& aRequest, OnEnd aOnEnd);
  /// Cancels the current call, if any, without running its callback. The
  /// connection cannot be used again.
  void Abandon();

  /// True if a byte of the current or last call may have left this process.
  bool MayHaveSent() const { return mayHaveSent_; }
  ConnectionId Id() const { return id_; }
  /// True if another call may be sent: the last answer was complete, the peer
  /// keeps the connection open and has sent nothing more.
  bool IsReusable() const;
  /// Largest answer body accepted, in bytes.
  static constexpr std::size_t kMaxAnswerBody = std::size_t{ 64 } << 20;

private:
  static void OnRequestDone(evhttp_request* aRequest, void* aSelf);
  static void OnClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnOutput(evbuffer* aBuffer,
                       const evbuffer_cb_info* aInfo,
                       void* aSelf);
  CallResult ReadAnswer(evhttp_request* aRequest);
  void End(CallResult aResult);
  bool HasUnreadInput() const;

  ConnectionId id_;
  Endpoint peer_;
  bufferevent* stream_;
  evhttp_connection* connection_;
  evhttp_request* request_ = nullptr;
  OnEnd onEnd_;
  bool isHead_ = false;
  bool mayHaveSent_ = false;
  bool reusable_ = false;
};

} // namespace coltsfootshed

#endif
